/** Holds what all components of one daemon share. */
import { randomBytes } from "node:crypto";
import { RegionTraffic } from "../connections/regiontraffic.js";
import { UnresponsiveConnections } from "../connections/unresponsiveconnections.js";
import { DatagramSocket } from "../datagram/datagramsocket.js";
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import { splitAddress } from "../ids/splitaddress.js";
import type { Metrics } from "../metrics/metrics.js";
import { PeerClient } from "../peer/peerclient.js";
import type { PeerOptions } from "../peer/peeroptions.js";
import type { RandomSource } from "../policy/randomsource.js";
import { processClock } from "../time/processclock.js";
import { UnreadMonitor } from "../time/unreadmonitor.js";
import type { Environment } from "./environment.js";
import type { Settings } from "./settings.js";

/** Random bytes in an incarnation's id: enough that no two incarnations of any daemons have the same id. */
const INCARNATION_BYTES = 9;

/** The daemon's identity, clock and source of randomness, and its connections and datagrams to peers. */
export class DaemonContext {
    readonly clock = processClock;
    readonly unread = new UnreadMonitor(this.clock);
    readonly random: RandomSource = () => Math.random();
    readonly incarnation = randomBytes(INCARNATION_BYTES).toString("base64url") as Incarnation;
    /** The address at which peers reach this daemon. */
    readonly self: Address;
    /** The local address from which connections are opened. */
    readonly localIp: string;
    readonly peerOptions: PeerOptions;
    readonly peer: PeerClient;
    readonly unresponsiveConnections: UnresponsiveConnections;
    readonly datagrams: DatagramSocket;
    readonly regionTraffic: RegionTraffic;

    constructor(readonly settings: Settings, readonly environment: Environment, readonly metrics: Metrics) {
        const { peer, advertise, peerKey: key, control, region } = settings;
        const { clock } = this;
        const { bytesPerSecond, regionBytesPerSecond } = control;
        this.regionTraffic = new RegionTraffic({ region, bytesPerSecond: regionBytesPerSecond, clock, metrics });
        const { watch: onSocket, countMessage } = this.regionTraffic;
        this.self = advertise ?? peer;
        this.localIp = splitAddress(peer).ip;
        this.unresponsiveConnections = new UnresponsiveConnections(clock, metrics);
        const onUnresponsive = (address: Address): void =>
            this.unresponsiveConnections.recordAndNotify("peer", address);
        const onCall = (ip: string): void => countMessage("sent", ip, 0);
        this.peerOptions = { localIp: this.localIp, key, clock, onUnresponsive, onSocket, onCall };
        this.peer = new PeerClient(this.peerOptions);
        this.unresponsiveConnections.onDetected(() => this.peer.renewConnections());
        this.datagrams = new DatagramSocket({ key, clock, bytesPerSecond, metrics, onMessage: countMessage });
    }

    /** Sends a datagram; returns false if the budget for control messages is used up. */
    readonly send = (to: Address, message: Message): boolean => this.datagrams.send(to, message);
}
