/** Daemons beside instances that one request ends, each started again a while after its end. */
import { pause } from "./pause.js";
import { PlatformMesh } from "./platformmesh.js";
import { runWith } from "./runwith.js";

/** Ends each instance that begins to run it. */
const CRASH_PATH = "/pages/ends-its-instance";
const SERVICE = "pages";
/** As many instances as the users' service has that was struck. */
const EACH = 4;
/** Until an ended instance is there again; milliseconds, at the users' they took 1 to 5 s. */
const BACK_AFTER_MS = 700;
const LOOK_EVERY_MS = 10;
/** Between two callers' tries; milliseconds. Of the recorded day's requests some ten a second were the same. */
const EVERY_MS = 100;

/** Until all daemons know all instances; milliseconds. */
const SETTLE_MS = 3000;

type Sent = { readonly id: string; readonly at: number; readonly status: number; };

/** Counts what the instances ran of the request, and when each ended under it. */
export class CrashMesh {
    readonly #ended: number[] = [];
    readonly told: Sent[] = [];
    #lives = 0;
    #sent = 0;
    #isOver = false;

    private constructor(readonly mesh: PlatformMesh) {}

    /** Runs the body with two services, whose instances of `pages` the request ends. */
    static async with(body: (crash: CrashMesh) => Promise<void>): Promise<void> {
        await runWith(await PlatformMesh.start([SERVICE, "fees"], EACH), async mesh => {
            const crash = new CrashMesh(mesh);
            const hosts = mesh.hosts.filter(host => host.service === SERVICE).map(host => host.name);
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

    /** How many instances have ended. */
    get ended(): number {
        return this.#ended.length;
    }

    /** How often the instances have begun to run the request. */
    get runs(): number {
        return this.mesh.runs.filter(line => line.startsWith("R crash-")).length;
    }

    /** Sends the request at all hosts in turn for so long. */
    async sendFor(ms: number, hosts = this.mesh.hosts.map(host => host.name)): Promise<void> {
        const until = performance.now() + ms;
        const sent: Promise<void>[] = [];
        while (performance.now() < until) {
            sent.push(this.send(hosts[this.#sent % hosts.length]!));
            await pause(EVERY_MS);
        }
        await Promise.all(sent);
    }

    /** Sends the request once, as a caller does that comes again: the path is the same, the id is not. */
    async send(host: string): Promise<void> {
        this.#sent += 1;
        const [id, at] = [`crash-${this.#sent}`, performance.now()];
        const { status } = await this.mesh.send(host, "GET", CRASH_PATH, id);
        this.told.push({ id, at, status });
    }

    /** Starts an instance again whenever it has ended. */
    async #keep(name: string): Promise<void> {
        while (!this.#isOver) {
            await pause(LOOK_EVERY_MS);
            if (!this.mesh.instances.get(name)!.running) {
                this.#ended.push(performance.now());
                await pause(BACK_AFTER_MS);
                await this.#start(name);
            }
        }
    }

    async #start(name: string): Promise<void> {
        this.#lives += 1;
        await this.mesh.startInstance(name, `i-${name}-${this.#lives}`, CRASH_PATH).ready();
    }
}
