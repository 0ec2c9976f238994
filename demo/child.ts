/** A process that this run started. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

/** Node's own flags for a child, such as the heap's size, and its environment. */
type ChildOptions = { readonly env?: NodeJS.ProcessEnv; readonly nodeFlags?: readonly string[]; };

/** What a stand-in, or a daemon in its log, prints when it serves. */
const READY = /^ready$|"ready":\s*true/;

/** Reads its lines, sends it signals, and waits for its end. */
export class Child {
    readonly errors: string[] = [];
    readonly #process: ChildProcess;
    readonly #ready: Promise<void>;

    constructor(script: string, args: readonly string[], onLine: (line: string) => void, options: ChildOptions = {}) {
        this.#process = spawn(process.execPath, [...options.nodeFlags ?? [], script, ...args], {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...options.env },
        });
        const lines = createInterface({ input: this.#process.stdout! });
        createInterface({ input: this.#process.stderr! }).on("line", line => this.errors.push(line));
        this.#ready = new Promise((resolve, reject) => {
            lines.on("line", line => READY.test(line) && resolve());
            this.#process.once(
                "exit",
                code => reject(new Error(`${script} ended with ${code}: ${this.errors.join("\n")}`)),
            );
        });
        this.#ready.catch(() => {});
        lines.on("line", onLine);
    }

    get pid(): number {
        return this.#process.pid!;
    }

    get running(): boolean {
        return this.#process.exitCode === null && this.#process.signalCode === null;
    }

    /** Resolves when it has printed that it serves, rejects when the process ends before that. */
    ready(): Promise<void> {
        return this.#ready;
    }

    signal(name: NodeJS.Signals): void {
        this.#process.kill(name);
    }

    /** Sends the signal and resolves with the exit code when the process has ended; kills it after `limitMs`. */
    async end(signal: NodeJS.Signals = "SIGTERM", limitMs = 15_000): Promise<number | null> {
        if (!this.running) {
            return this.#process.exitCode;
        }
        const ended = once(this.#process, "exit") as Promise<[number | null]>;
        this.#process.kill(signal);
        const timer = setTimeout(() => this.#process.kill("SIGKILL"), limitMs);
        const [code] = await ended;
        clearTimeout(timer);
        return code;
    }
}
