/** The tasks by which daemons tell each other of load and take work off each other. */
import { Pinger } from "../control/pinger.js";
import { Relief } from "../control/relief.js";
import { Reporter } from "../control/reporter.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import type { Settings } from "./settings.js";

type ReliefParts = ConstructorParameters<typeof Relief>[0];

/** What these tasks need of the rest of the daemon. */
type LoadSharingParts = ReliefParts & {
    readonly upstreams: UpstreamTable;
    readonly policy: Settings["policy"];
};

/** Owns their timers. */
export class LoadSharing {
    readonly pinger: Pinger;
    readonly reporter: Reporter;
    readonly relief: Relief;

    constructor(private readonly parts: LoadSharingParts) {
        this.pinger = new Pinger(parts);
        this.reporter = new Reporter(parts);
        this.relief = new Relief(parts);
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
        this.reporter.look();
        if (relief) {
            this.relief.look();
        }
    }
}
