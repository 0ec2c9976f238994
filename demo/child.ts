/** Child process of a mesh or a test. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

/**
 * `nodeFlags` are command-line flags of Node, such as the heap size. `env` extends the environment of this process.
 * `maxDescriptors` limits the open descriptors of the process.
 */
type ChildOptions = {
    readonly env?: NodeJS.ProcessEnv;
    readonly nodeFlags?: readonly string[];
    readonly maxDescriptors?: number;
};

/** Returns the program and its arguments; the shell only sets the limit before it becomes the program. */
const withDescriptorLimit = (command: readonly string[], maxDescriptors: number | undefined): readonly string[] =>
    maxDescriptors === undefined
        ? command
        : ["/bin/sh", "-c", `ulimit -n ${maxDescriptors} && exec "$0" "$@"`, ...command];

/** Matches the line with which a stand-in or the log of a daemon reports that the process is ready. */
const READY = /^ready$|"ready":\s*true/;

/**
 * Starts a Node process, passes on each line of its standard output, collects those of its standard error, sends it
 * signals and waits for its exit.
 */
export class Child {
    readonly errors: string[] = [];
    readonly #process: ChildProcess;
    readonly #ready: Promise<void>;

    constructor(script: string, args: readonly string[], onLine: (line: string) => void, options: ChildOptions = {}) {
        const command = [process.execPath, ...options.nodeFlags ?? [], script, ...args];
        const [program, ...programArgs] = withDescriptorLimit(command, options.maxDescriptors);
        this.#process = spawn(program!, programArgs, {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...options.env },
        });
        const lines = createInterface({ input: this.#process.stdout! });
        createInterface({ input: this.#process.stderr! }).on("line", line => this.errors.push(line));
        this.#ready = new Promise((resolve, reject) => {
            lines.on("line", line => READY.test(line) && resolve());
            this.#process.once(
                "exit",
                code =>
                    reject(
                        new Error(`${script} exited with code ${code} before it was ready: ${this.errors.join("\n")}`),
                    ),
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

    /** Resolves when the process has reported that it is ready. Rejects if the process exits before that. */
    ready(): Promise<void> {
        return this.#ready;
    }

    signal(name: NodeJS.Signals): void {
        this.#process.kill(name);
    }

    /**
     * Sends the signal and resolves with the exit code once the process has exited, or null if a signal ended it. Kills
     * the process after `limitMs`.
     */
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
