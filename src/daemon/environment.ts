/** Defines what depends on where a daemon runs: the dialect for callers and upstreams, and the store. */
import type { Dialect } from "../dialect/dialect.js";
import type { Registry } from "../membership/registry.js";
import type { Store } from "../store/store.js";

/** `registry` is undefined if the configuration names the upstreams; otherwise they announce themselves. */
export type Environment = {
    readonly dialect: Dialect;
    readonly store: Store;
    readonly registry: Registry | undefined;
};
