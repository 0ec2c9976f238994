/** Runs daemons with instances that one request crashes; each instance is restarted a while after a crash. */
import { pause } from "./pause.js";
import { PlatformMesh } from "./platformmesh.js";
import { restartOnExit } from "./restartonexit.js";
import { runWith } from "./runwith.js";
import { sendPeriodically } from "./sendperiodically.js";

type CrashingService = "pages" | "fees";
/** The number of instances of the users' service in which the crashes occurred. */
const INSTANCES_PER_SERVICE = 4;
/** Time between two repeats of the request; on the recorded day about 10 requests a second were the same. */
const REQUEST_INTERVAL_MS = 100;

/** Time until all daemons know all instances. */
const SETTLE_MS = 3000;

type SentRequest = { readonly id: string; readonly status: number; };

/** Counts the runs of the request and the crashes of the instances. */
export class CrashMesh {
    readonly responses: SentRequest[] = [];
    #crashCount = 0;
    #incarnationCount = 0;
    #sentCount = 0;
    #isOver = false;

    private constructor(readonly mesh: PlatformMesh, private readonly crashingService: CrashingService) {}

    /** Runs the body with two services, and crashing instances in one of them. Requests to `fees` may run only once. */
    static async with(
        body: (crashMesh: CrashMesh) => Promise<void>,
        crashingService: CrashingService = "pages",
    ): Promise<void> {
        await runWith(await PlatformMesh.start(["pages", "fees"], INSTANCES_PER_SERVICE), async mesh => {
            const crashMesh = new CrashMesh(mesh, crashingService);
            const hostNames = mesh.hosts.filter(host => host.service === crashingService).map(host => host.name);
            await Promise.all(hostNames.map(async name => {
                await mesh.instances.get(name)!.end("SIGKILL");
                await crashMesh.#start(name);
            }));
            const restarting = hostNames.map(name => crashMesh.#restartAfterCrashes(name));
            await pause(SETTLE_MS);
            try {
                await body(crashMesh);
            }
            finally {
                crashMesh.#isOver = true;
                await Promise.all(restarting);
            }
        });
    }

    /** The path of the request, which crashes each instance that runs it. */
    get #path(): string {
        return `/${this.crashingService}/ends-its-instance`;
    }

    /** The number of instances that have crashed. */
    get crashCount(): number {
        return this.#crashCount;
    }

    /** The number of times that instances have begun to run the request. */
    get runCount(): number {
        return this.mesh.instanceLines.filter(line => line.startsWith("R crash-")).length;
    }

    /** Sends the request from all hosts in turn for `durationMs`. */
    async sendFor(durationMs: number): Promise<void> {
        const { hosts } = this.mesh;
        await sendPeriodically(
            durationMs,
            REQUEST_INTERVAL_MS,
            () => this.send(hosts[this.#sentCount % hosts.length]!.name),
        );
    }

    /** Sends the request once, as a caller that repeats it does: with the same path and another id. */
    async send(host: string): Promise<void> {
        this.#sentCount += 1;
        const id = `crash-${this.#sentCount}`;
        const { status } = await this.mesh.send(host, this.crashingService === "fees" ? "POST" : "GET", this.#path, id);
        this.responses.push({ id, status });
    }

    /**
     * Sends requests for another page of the service from all hosts in turn; resolves with the numbers that were sent
     * and served.
     */
    async countServed(durationMs: number): Promise<{ readonly sent: number; readonly served: number; }> {
        const { hosts } = this.mesh;
        const responses = await sendPeriodically(
            durationMs,
            REQUEST_INTERVAL_MS / 2,
            index => this.mesh.send(hosts[index % hosts.length]!.name, "GET", "/pages/1", `proper-${index}`),
        );
        return { sent: responses.length, served: responses.filter(({ status }) => status === 200).length };
    }

    #restartAfterCrashes(name: string): Promise<void> {
        return restartOnExit({
            isRunning: () => this.mesh.instances.get(name)!.running,
            restart: () => this.#start(name),
            onEnd: () => this.#crashCount += 1,
            isOver: () => this.#isOver,
        });
    }

    async #start(name: string): Promise<void> {
        this.#incarnationCount += 1;
        await this.mesh.startInstance(name, `i-${name}-${this.#incarnationCount}`, this.#path).ready();
    }
}
