/** What differs with where a daemon runs: how it speaks with callers, upstreams and the store. */
import type { Dialect } from "../dialect/dialect.js";
import type { Registry } from "../membership/registry.js";
import type { Store } from "../store/store.js";

/** No registry where the document names the upstreams. */
export type Environment = {
    readonly dialect: Dialect;
    readonly store: Store;
    readonly registry: Registry | undefined;
};
