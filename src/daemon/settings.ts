/** Defines the settings of a daemon, which are a JSON file; docs/SETTINGS.md describes each. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { HallName } from "../ids/hallname.js";
import { HostName } from "../ids/hostname.js";
import { RegionName } from "../ids/regionname.js";
import { ServiceName } from "../ids/servicename.js";
import { LogLevel } from "../log/loglevel.js";

/** Bytes in a kibibyte. */
const KIB = 1024;
/** Bytes in a mebibyte. */
const MIB = 1024 * KIB;
/** Minimum length of `peerKey` in characters; a shorter key could be guessed within seconds. */
const MIN_KEY_LENGTH = 16;

/** A shorter limit would need confirmations of the configuration more often than eight times a second. */
const MIN_STRICT_AGE_MS = 1000;

const Ms = z.int().min(1).max(3_600_000);

const Limits = z.strictObject({
    headerBytes: z.int().min(KIB).max(MIB).default(16 * KIB),
    keepBytes: z.int().min(0).max(16 * MIB).default(256 * KIB),
    bodyMemoryBytes: z.int().min(0).max(1024 * MIB).default(32 * MIB),
    bodyBytes: z.int().min(0).max(1024 * MIB).default(64 * MIB),
    headersTimeoutMs: Ms.default(10_000),
    requestTimeoutMs: Ms.default(60_000),
    keepAliveMs: Ms.default(15_000),
    discardTimeoutMs: Ms.default(5000),
    requestMemoryBytes: z.int().min(MIB).max(1024 * MIB).default(24 * MIB),
    requestsPerConnection: z.int().min(1).max(1024).default(8),
    descriptors: z.int().min(64).max(10_000_000).optional(),
    ledgerEntries: z.int().min(1).max(1_000_000).default(50_000),
});

const Control = z.strictObject({
    bytesPerSecond: z.int().min(1000).max(10 * MIB).default(13_000),
    regionBytesPerSecond: z.int().min(1000).max(1024 * MIB).optional(),
    healthPath: z.string().startsWith("/").default("/health"),
    healthPerSecond: z.number().min(0).max(10).default(1),
    pacePerSecond: z.number().min(0).max(1000).default(20),
});

const PlacementOptions = z.strictObject({
    choices: z.int().min(1).max(64).optional(),
    ownWeight: z.number().min(0).max(100).optional(),
    loadFadeMs: Ms.optional(),
    paceFadeMs: Ms.optional(),
    leaveHallCost: z.number().min(0).max(100).optional(),
    leaveRegionCost: z.number().min(0).max(100).optional(),
});

/** Bounds the repeats that all daemons together send to a service (policy/retry/repeatbound.ts). */
const Repeats = z.strictObject({
    ratio: z.number().min(0).max(1).default(0.2),
    slack: z.number().min(0).max(1_000_000).default(240),
    windowS: z.number().min(1).max(3600).default(10),
});

/**
 * Bounds the requests that a cold upstream is sent in any second: `overage` times those that it can serve in that time,
 * plus `slack`.
 */
const Cold = z.strictObject({
    overage: z.number().min(1).max(100).default(1.5),
    slack: z.number().min(0).max(1_000_000).default(2),
});

/**
 * `maxConfigurationAgeMs`: strict revocation. A removed key is accepted nowhere for longer than this after its removal,
 * also by daemons that are cut off.
 */
const Keys = z.strictObject({
    maxConfigurationAgeMs: Ms.min(MIN_STRICT_AGE_MS).optional(),
});

/** Bounds the requests of a team over all daemons (policy/quota/quotabound.ts). */
const Quota = z.strictObject({
    windowS: z.number().min(1).max(3600).default(5),
    overage: z.number().min(0).max(1).default(0.1),
    slack: z.number().min(0).max(1_000_000).default(20),
});

const Policy = z.strictObject({
    profile: z.enum(["frugal", "responsive"]).default("responsive"),
    placement: z.enum(["expected-time", "round-robin", "random", "least-outstanding", "two-choices"])
        .default("expected-time"),
    limit: z.enum(["ramp", "learned", "fixed"]).default("ramp"),
    relief: z.boolean().default(true),
    hedge: z.boolean().default(true),
    retryBurst: z.int().min(0).max(1000).default(20),
    repeats: Repeats.prefault({}),
    cold: Cold.prefault({}),
    quota: Quota.prefault({}),
    placementOptions: PlacementOptions.prefault({}),
    keys: Keys.prefault({}),
});

const Log = z.strictObject({
    level: LogLevel.default("info"),
    linesPerSecond: z.int().min(1).max(100_000).default(500),
});

const Stop = z.strictObject({
    lingerMs: Ms.default(500),
    limitMs: Ms.default(30_000),
    graceS: z.number().min(1).max(3600).optional(),
});

const Settings = z.strictObject({
    host: HostName,
    hall: HallName,
    region: RegionName,
    ingress: Address,
    peer: Address,
    /** The address at which peers reach `peer`, if it differs. */
    advertise: Address.optional(),
    operator: Address,
    /** Address at which upstreams on this host announce themselves, if they do. */
    announce: Address.optional(),
    /** The address of the local upstream. The daemon probes it at the start, before the upstream announces itself. */
    upstream: Address.optional(),
    /** An additional listener for readiness checks, which the operators' listener serves as well. */
    readiness: Address.optional(),
    /** The service on this host that is named as the caller of requests that enter here. */
    callerService: ServiceName.optional(),
    store: Address,
    seeds: z.array(Address).max(64).default([]),
    peerKey: z.string().min(MIN_KEY_LENGTH).max(256),
    limits: Limits.prefault({}),
    control: Control.prefault({}),
    policy: Policy.prefault({}),
    stop: Stop.prefault({}),
    log: Log.prefault({}),
});
type Settings = z.infer<typeof Settings>;

/**
 * The location, the listeners and the limits of a daemon. Sizes are in bytes and times in milliseconds, unless the
 * field's name says otherwise.
 */
export { Settings };
