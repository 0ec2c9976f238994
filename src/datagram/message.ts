/** Defines the messages that daemons send each other in datagrams. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { CrashId } from "../ids/crashid.js";
import { HostName } from "../ids/hostname.js";
import { Incarnation } from "../ids/incarnation.js";
import { RequestKey } from "../ids/requestkey.js";
import { ServiceName } from "../ids/servicename.js";
import { TeamName } from "../ids/teamname.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { evacuatedHallsSchema } from "../wire/evacuatedhallsschema.js";
import { loadReportSchema } from "../wire/loadreportschema.js";
import { Member } from "../wire/member.js";
import { RecordsPosition } from "../wire/recordsposition.js";

/** Limits the size of a datagram, and the effect of a message from a faulty peer. */
const MAX_ITEMS = 64;

/** Teams in one message for or from a counter of quotas. */
const MAX_TEAMS = 16;
/** Requests of one team that wait at a daemon. */
const MAX_TOKENS = 64;
/** The largest number of a shard (src/policy/quota/shardof.ts). */
const MAX_SHARD = 3;

const tokenCount = z.int().min(0).max(MAX_TOKENS);

const upstreamLoadSchema = z.object({ upstream: UpstreamName, report: loadReportSchema });
const from = Address;

const Message = z.discriminatedUnion("type", [
    /**
     * Heartbeat of a watcher: the revision of its configuration, the time since the store confirmed it, the hosts that
     * are leaving, the position of its list of members, the digest of its crash records, and the evacuated halls.
     */
    z.object({
        type: z.literal("beat"),
        from,
        revision: z.int().min(0),
        ageMs: z.number().min(0),
        watching: z.boolean(),
        leaving: z.array(HostName).max(MAX_ITEMS),
        records: RecordsPosition.optional(),
        /** Digest of the sender's crash records. */
        crashes: z.int().optional(),
        evacuated: evacuatedHallsSchema.optional(),
    }),
    z.object({ type: z.literal("ping"), from, sentAt: z.number() }),
    /** Response to a ping, whose `sentAt` it returns. */
    z.object({
        type: z.literal("pong"),
        from,
        sentAt: z.number(),
        incarnation: Incarnation,
        gateTime: z.number(),
        revision: z.int().min(0),
        loads: z.array(upstreamLoadSchema).max(MAX_ITEMS),
    }),
    /** Unsolicited load report of a gate whose load has changed considerably. */
    z.object({ type: z.literal("load"), from, loads: z.array(upstreamLoadSchema).max(MAX_ITEMS) }),
    /** The sender is shutting down; sent to the peers that sent requests to its upstreams. */
    z.object({ type: z.literal("leave"), from, upstreams: z.array(UpstreamName).max(MAX_ITEMS) }),
    /**
     * Heartbeat of a member. If `knowsYou` is false, the sender does not know the receiver or has doubts about it, and
     * expects a hello in return.
     */
    z.object({
        type: z.literal("hello"),
        from,
        incarnation: Incarnation,
        version: z.int().min(0),
        revision: z.int().min(0),
        knowsYou: z.boolean(),
        evacuated: evacuatedHallsSchema.optional(),
    }),
    /** The sender's own member record, which has changed. */
    z.object({ type: z.literal("member"), from, member: Member }),
    /** The sender is shutting down; the receiver removes it from its members. */
    z.object({ type: z.literal("going"), from }),
    /** An upstream beside the sender has crashed with these requests in flight. */
    z.object({ type: z.literal("crash"), from, crash: CrashId, requests: z.array(RequestKey).max(MAX_ITEMS) }),
    /** Requests are queued at an upstream; the other upstreams of its service may offer slots. */
    z.object({
        type: z.literal("need"),
        from,
        service: ServiceName,
        upstream: UpstreamName,
        count: z.int().min(1).max(MAX_ITEMS),
    }),
    /** Slots of `goTo` that are reserved for a few milliseconds for requests queued at `upstream`. */
    z.object({
        type: z.literal("offer"),
        from,
        upstream: UpstreamName,
        goTo: UpstreamName,
        offers: z.array(z.string().max(64)).max(MAX_ITEMS),
    }),
    /** Requests tokens of teams from a counter, and may lease the sender's share (src/policy/quota/quotaask.ts). */
    z.object({
        type: z.literal("quota-ask"),
        from,
        shard: z.int().min(0).max(MAX_SHARD),
        id: z.int().min(0),
        lease: z.object({
            members: z.int().min(1),
            counter: Incarnation.optional(),
            until: z.number().optional(),
        }).optional(),
        teams: z.array(z.tuple([TeamName, tokenCount, tokenCount, tokenCount, tokenCount])).max(MAX_TEAMS),
    }),
    /** Answers a request for tokens (src/policy/quota/quotaanswer.ts). */
    z.object({
        type: z.literal("quota-answer"),
        from,
        shard: z.int().min(0).max(MAX_SHARD),
        id: z.int().min(0),
        clock: z.object({ incarnation: Incarnation, time: z.number(), members: z.int().min(1) }).optional(),
        teams: z.array(z.tuple([TeamName, tokenCount, tokenCount, z.int().min(-1)])).max(MAX_TEAMS),
    }),
]);
type Message = z.infer<typeof Message>;

/** Message by its type; times are milliseconds. */
export { Message };
