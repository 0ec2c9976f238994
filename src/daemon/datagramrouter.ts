/** Routes each received datagram to the component that handles its type. */
import type { CrashPropagation } from "../crashes/crashpropagation.js";
import type { Message } from "../datagram/message.js";
import type { HallHeartbeats } from "../distribution/hallheartbeats.js";
import type { FailureDetector } from "../failuredetection/failuredetector.js";
import type { GateIdentity } from "../gate/gateidentity.js";
import type { Address } from "../ids/address.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import type { Gossip } from "../membership/gossip.js";
import type { QuotaTask } from "../quota/quotatask.js";
import type { Clock } from "../time/clock.js";
import type { WorkTransfer } from "../transfer/worktransfer.js";
import type { GateSet } from "./gateset.js";

type RouterDependencies = {
    readonly self: Address;
    readonly clock: Clock;
    readonly identity: GateIdentity;
    readonly gateSet: GateSet;
    readonly upstreams: UpstreamTable;
    readonly heartbeats: HallHeartbeats;
    readonly failureDetector: FailureDetector;
    readonly crashes: CrashPropagation;
    readonly transfer: WorkTransfer;
    readonly quota: QuotaTask;
    /** Undefined if the configuration names the upstreams. */
    readonly gossip: Gossip | undefined;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Handles all types of messages; responds to pings itself. */
export class DatagramRouter {
    constructor(private readonly deps: RouterDependencies) {}

    receive(message: Message): void {
        const { clock, upstreams, heartbeats, failureDetector, transfer } = this.deps;
        switch (message.type) {
            case "beat":
                return heartbeats.receive(message);
            case "ping":
                return this.#sendPong(message.from, message.sentAt);
            case "pong":
                return failureDetector.receivePong(message);
            case "load":
                return message.loads.forEach(({ upstream, report }) =>
                    upstreams.find(upstream)?.recordReport(report, clock())
                );
            case "leave":
                return message.upstreams.forEach(name => upstreams.find(name)?.recordStopping(clock()));
            case "hello":
            case "member":
            case "going":
                return this.deps.gossip?.receive(message);
            case "crash":
                return this.deps.crashes.receive(message);
            case "need":
                return transfer.receiveNeed(message);
            case "offer":
                return transfer.receiveOffer(message);
            case "quota-ask":
            case "quota-answer":
                return this.deps.quota.receive(message);
        }
    }

    #sendPong(to: Address, sentAt: number): void {
        const { self, clock, identity, gateSet, send } = this.deps;
        const { incarnation, gateTime, revision } = identity.responseMetadata(clock());
        const loads = [...gateSet.all].map(gate => ({ upstream: gate.upstream.name, report: gate.report() }));
        send(to, { type: "pong", from: self, sentAt, incarnation, gateTime, revision, loads });
    }
}
