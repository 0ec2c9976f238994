/** Runs the gossip of many daemons in one process, over a network that loses datagrams. */
import type { Message } from "../src/datagram/message.js";
import { Evacuations } from "../src/evacuation/evacuations.js";
import type { Address } from "../src/ids/address.js";
import { Gossip } from "../src/membership/gossip.js";
import { MemberList } from "../src/membership/memberlist.js";
import type { RandomSource } from "../src/policy/randomsource.js";
import { TokenBucket } from "../src/policy/tokenbucket.js";
import type { Member } from "../src/wire/member.js";

/** Bytes a second that a daemon may spend on datagrams other than pongs, and the size of a hello with its headers. */
const SEND_BYTES_PER_S = 2900;
const HELLO_BYTES = 170;
const DATAGRAM_LOSS = 0.025;
/** Time for a pull of a large update and for decoding it on a slow host. */
const PULL_MS = 300;

type Daemon = { readonly member: Member; readonly gossip: Gossip; revision: number; isRunning: boolean; };
type GossipMessage = Parameters<Gossip["receive"]>[0];

const HALLS = ["a", "b", "c"];

/** Time advances with `setTimeout`, which the test replaces. All daemons know each other. */
export class GossipFleet {
    readonly daemons: readonly Daemon[];
    readonly #byGate: ReadonlyMap<Address, Daemon>;

    constructor(count: number, private readonly clock: () => number, private readonly random: RandomSource) {
        const members = Array.from({ length: count }, (_, index): Member => ({
            gate: `10.0.${index % HALLS.length}.${index}:1`,
            host: `h${index}`,
            hall: HALLS[index % HALLS.length],
            region: "r",
            incarnation: `i${index}`,
            version: 1,
            upstreams: [],
        } as never));
        this.daemons = members.map(member => this.#createDaemon(member, members));
        this.#byGate = new Map(this.daemons.map(daemon => [daemon.member.gate, daemon]));
    }

    get running(): readonly Daemon[] {
        return this.daemons.filter(({ isRunning }) => isRunning);
    }

    start(): void {
        this.running.forEach(({ gossip }) => gossip.start());
    }

    stop(): void {
        this.daemons.forEach(({ gossip }) => gossip.stop());
    }

    /** Brings a revision into force at a daemon. */
    apply(daemon: Daemon, revision: number): void {
        if (revision > daemon.revision) {
            daemon.revision = revision;
            daemon.gossip.announceRevision();
        }
    }

    #createDaemon(member: Member, members: readonly Member[]): Daemon {
        const bucket = new TokenBucket(SEND_BYTES_PER_S, SEND_BYTES_PER_S, this.clock());
        const memberList = new MemberList(member.gate);
        members.forEach(other => memberList.record(other, "itself", this.clock()));
        const send = (to: Address, message: Message): boolean => {
            const isSent = bucket.spend(HELLO_BYTES, this.clock());
            if (isSent && this.random() >= DATAGRAM_LOSS) {
                setTimeout(() => this.#deliver(to, message as GossipMessage), 2);
            }
            return isSent;
        };
        const gossip = new Gossip({
            self: member.gate,
            memberList,
            ownRecord: () => member,
            relays: () => [],
            configurationRevision: () => daemon.revision,
            pullConfiguration: async revision => void setTimeout(() => this.apply(daemon, revision), PULL_MS),
            evacuations: new Evacuations(),
            fetchRecord: async () => member,
            fetchAllRecords: async () => ({}) as never,
            send,
            clock: this.clock,
            random: this.random,
        });
        const daemon: Daemon = { member, gossip, revision: 1, isRunning: true };
        return daemon;
    }

    #deliver(to: Address, message: GossipMessage): void {
        const daemon = this.#byGate.get(to)!;
        if (daemon.isRunning) {
            daemon.gossip.receive(message);
        }
    }
}
