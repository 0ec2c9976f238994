/** The tasks by which daemons tell each other of load and take work off each other. */
import { FailureDetector } from "../failuredetection/failuredetector.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import { LoadReporter } from "../loadreports/loadreporter.js";
import { WorkTransfer } from "../transfer/worktransfer.js";
import type { Settings } from "./settings.js";

type ReliefParts = ConstructorParameters<typeof WorkTransfer>[0];

/** What these tasks need of the rest of the daemon. */
type LoadSharingParts = ReliefParts & {
    readonly upstreams: UpstreamTable;
    readonly policy: Settings["policy"];
};

/** Owns their timers. */
export class LoadSharing {
    readonly pinger: FailureDetector;
    readonly reporter: LoadReporter;
    readonly relief: WorkTransfer;

    constructor(private readonly parts: LoadSharingParts) {
        this.pinger = new FailureDetector(parts);
        this.reporter = new LoadReporter(parts);
        this.relief = new WorkTransfer(parts);
    }

    start(): void {
        this.pinger.start();
    }

    stop(): void {
        this.pinger.stop();
        this.relief.stop();
    }

    /** Takes in that something has changed at a gate; the frugal profile sends nothing that no one has asked for. */
    lookAtGates(): void {
        const { profile, relief } = this.parts.policy;
        if (profile === "frugal") {
            return;
        }
        this.reporter.check();
        if (relief) {
            this.relief.check();
        }
    }
}
