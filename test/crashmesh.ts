/** Daemons beside instances that one request ends, each started again a while after its end. */
import { keepRunning } from "./keeprunning.js";
import { pause } from "./pause.js";
import { PlatformMesh } from "./platformmesh.js";
import { runWith } from "./runwith.js";
import { sendEach } from "./sendeach.js";

type Struck = "pages" | "fees";
/** As many instances as the users' service has that was struck. */
const EACH = 4;
/** Between two callers' tries; milliseconds. Of the recorded day's requests some ten a second were the same. */
const EVERY_MS = 100;

/** Until all daemons know all instances; milliseconds. */
const SETTLE_MS = 3000;

type Sent = { readonly id: string; readonly status: number; };

/** Counts what the instances ran of the request, and when each ended under it. */
export class CrashMesh {
    readonly told: Sent[] = [];
    #ended = 0;
    #lives = 0;
    #sent = 0;
    #isOver = false;

    private constructor(readonly mesh: PlatformMesh, private readonly struck: Struck) {}

    /** Runs the body with two services, of which one has instances that the request ends; those of `fees` run a request once. */
    static async with(body: (crash: CrashMesh) => Promise<void>, struck: Struck = "pages"): Promise<void> {
        await runWith(await PlatformMesh.start(["pages", "fees"], EACH), async mesh => {
            const crash = new CrashMesh(mesh, struck);
            const hosts = mesh.hosts.filter(host => host.service === struck).map(host => host.name);
            await Promise.all(hosts.map(async name => {
                await mesh.instances.get(name)!.end("SIGKILL");
                await crash.#start(name);
            }));
            const kept = hosts.map(name => crash.#keep(name));
            await pause(SETTLE_MS);
            try {
                await body(crash);
            }
            finally {
                crash.#isOver = true;
                await Promise.all(kept);
            }
        });
    }

    /** Ends each instance that begins to run it. */
    get #path(): string {
        return `/${this.struck}/ends-its-instance`;
    }

    /** How many instances have ended. */
    get ended(): number {
        return this.#ended;
    }

    /** How often the instances have begun to run the request. */
    get runs(): number {
        return this.mesh.runs.filter(line => line.startsWith("R crash-")).length;
    }

    /** Sends the request at all hosts in turn for so long. */
    async sendFor(ms: number): Promise<void> {
        const { hosts } = this.mesh;
        await sendEach(ms, EVERY_MS, () => this.send(hosts[this.#sent % hosts.length]!.name));
    }

    /** Sends the request once, as a caller does that comes again: the path is the same, the id is not. */
    async send(host: string): Promise<void> {
        this.#sent += 1;
        const id = `crash-${this.#sent}`;
        const { status } = await this.mesh.send(host, this.struck === "fees" ? "POST" : "GET", this.#path, id);
        this.told.push({ id, status });
    }

    /** Asks for another page of the service at all hosts in turn for so long. */
    async countServed(ms: number): Promise<{ readonly sent: number; readonly ok: number; }> {
        const { hosts } = this.mesh;
        const told = await sendEach(
            ms,
            EVERY_MS / 2,
            at => this.mesh.send(hosts[at % hosts.length]!.name, "GET", "/pages/1", `proper-${at}`),
        );
        return { sent: told.length, ok: told.filter(({ status }) => status === 200).length };
    }

    #keep(name: string): Promise<void> {
        return keepRunning({
            isRunning: () => this.mesh.instances.get(name)!.running,
            restart: () => this.#start(name),
            onEnd: () => this.#ended += 1,
            isOver: () => this.#isOver,
        });
    }

    async #start(name: string): Promise<void> {
        this.#lives += 1;
        await this.mesh.startInstance(name, `i-${name}-${this.#lives}`, this.#path).ready();
    }
}
