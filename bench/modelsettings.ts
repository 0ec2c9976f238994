/** Parses the flags of the simulation; an error names the flag, its value and the allowed values. */
import { z } from "zod";
import type { ModelPolicy } from "../src/policy/model/modelpolicy.js";
import type { ModelTrouble } from "../src/policy/model/modeltrouble.js";
import { usualPolicy } from "../src/policy/model/usualpolicy.js";

/** Policies by name: `usual` has all parts, each other policy has one part switched off or replaced. */
const policies: Readonly<Record<string, ModelPolicy>> = {
    "usual": usualPolicy,
    "no-pace-wait": { ...usualPolicy, waitsForPace: false },
    "no-memory": { ...usualPolicy, keepsKneeShare: false },
    "ramp-limit": { ...usualPolicy, limit: "ramp", keepsKneeShare: false },
    "fixed-limit": { ...usualPolicy, limit: "fixed", keepsKneeShare: false },
    "no-moves": { ...usualPolicy, redirects: false },
    "calls-inherited": { ...usualPolicy, callPriority: "inherited" },
    "calls-raised": { ...usualPolicy, callPriority: "raised" },
};

/** Disturbances by name; times are milliseconds. */
const troubles: Readonly<Record<string, readonly ModelTrouble[]>> = {
    none: [],
    burst: [{ type: "burst", atMs: 8000, durationMs: 5000, loadFactor: 1.7 }],
    loss: [{ type: "loss", atMs: 5000, service: "engine", count: 2 }, {
        type: "burst",
        atMs: 8000,
        durationMs: 5000,
        loadFactor: 1.5,
    }],
    evacuate: [{ type: "evacuate", atMs: 8000, durationMs: 8000, hall: 0 }],
    restart: [{ type: "restart", atMs: 15_000, downMs: 1300 }],
};

const oneOf = (names: Readonly<Record<string, unknown>>): z.ZodType<string> =>
    z.string().refine(name => name in names, `must be one of ${Object.keys(names).join(", ")}`);

const Flags = z.strictObject({
    hosts: z.coerce.number().int().min(3).max(1000),
    load: z.coerce.number().positive().max(10),
    policy: oneOf(policies),
    trouble: oneOf(troubles),
    seed: z.coerce.number().int().min(0),
    seeds: z.coerce.number().int().min(1).max(100),
    "cold-per-second": z.coerce.number().positive().max(1_000_000).optional(),
    seconds: z.coerce.number().int().min(5).max(600),
    plot: z.string().optional(),
});

/** The parsed flags, with the policy and the disturbances that they name. */
type ModelSettings = Omit<z.infer<typeof Flags>, "policy" | "trouble"> & {
    readonly policy: ModelPolicy;
    readonly troubles: readonly ModelTrouble[];
};

/** Returns the settings, or one line for each invalid flag. */
export function modelSettings(flags: Record<string, string | undefined>): ModelSettings | string[] {
    const { data, error } = Flags.safeParse(flags);
    if (data === undefined) {
        return error.issues.map(({ path, message }) => {
            const name = path.join(".");
            return `--${name} ${flags[name] ?? ""}: ${message}`;
        });
    }
    const { policy, trouble, ...rest } = data;
    return { ...rest, policy: policies[policy]!, troubles: troubles[trouble]! };
}
