/** Our policy, and the baselines beside it. */
import type { PolicySpec } from "./policyspec.js";

const baseline = (placement: string): PolicySpec => ({
    name: placement,
    settings: { policy: { placement, relief: false, hedge: false, limit: "fixed" } },
});

/** By the names that `--policy` takes. */
export const policies: readonly PolicySpec[] = [
    { name: "winglock", settings: { policy: {} } },
    { name: "winglock-frugal", settings: { policy: { profile: "frugal" } } },
    { name: "no-relief", settings: { policy: { relief: false } } },
    { name: "no-hedge", settings: { policy: { hedge: false } } },
    baseline("round-robin"),
    baseline("random"),
    baseline("least-outstanding"),
    baseline("two-choices"),
];
