/** Runs the tasks that report load to peers, detect unresponsive daemons, and redirect queued requests to siblings. */
import { FailureDetector } from "../failuredetection/failuredetector.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import { LoadReporter } from "../loadreports/loadreporter.js";
import { WorkTransfer } from "../transfer/worktransfer.js";
import type { Settings } from "./settings.js";

type LoadSharingDependencies = ConstructorParameters<typeof WorkTransfer>[0] & {
    readonly upstreams: UpstreamTable;
    readonly policy: Settings["policy"];
};

/** Owns the failure detector, the load reporter and the work transfer. */
export class LoadSharing {
    readonly failureDetector: FailureDetector;
    readonly reporter: LoadReporter;
    readonly transfer: WorkTransfer;

    constructor(private readonly deps: LoadSharingDependencies) {
        this.failureDetector = new FailureDetector(deps);
        this.reporter = new LoadReporter(deps);
        this.transfer = new WorkTransfer(deps);
    }

    start(): void {
        this.failureDetector.start();
    }

    stop(): void {
        this.failureDetector.stop();
        this.transfer.stop();
    }

    /**
     * Checks whether to report load and to redirect queued requests; must be called after each change at a gate. The
     * frugal profile sends no unsolicited messages.
     */
    checkGates(): void {
        const { profile, relief } = this.deps.policy;
        if (profile === "frugal") {
            return;
        }
        this.reporter.check();
        if (relief) {
            this.transfer.check();
        }
    }
}
