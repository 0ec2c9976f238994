/** The tasks by which daemons report load to each other, find out who is silent, and take over what waits elsewhere. */
import { FailureDetector } from "../failuredetection/failuredetector.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import { LoadReporter } from "../loadreports/loadreporter.js";
import { WorkTransfer } from "../transfer/worktransfer.js";
import type { Settings } from "./settings.js";

/** What these tasks need of the rest of the daemon. */
type LoadSharingDependencies = ConstructorParameters<typeof WorkTransfer>[0] & {
    readonly upstreams: UpstreamTable;
    readonly policy: Settings["policy"];
};

/** Starts and stops them. */
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

    /** To be called when something has changed at a gate. The frugal profile sends nothing that no one has asked for. */
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
