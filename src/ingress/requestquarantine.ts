/** Asks the crash guard about one request, and computes the request's key only when it is needed. */
import { requestKeyOf } from "../dialect/requestkeyof.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { QuarantineStatus } from "../policy/quarantine/quarantinestatus.js";
import type { IngressDependencies } from "./ingressdependencies.js";
import type { OutgoingRequest } from "./outgoingrequest.js";
import type { UnservedResult } from "./unservedresult.js";

type Refusal = Exclude<UnservedResult, { readonly outcome: "failed"; }>;

/** Created for each request; a digest of the body costs time, so that it is computed once at most. */
export class RequestQuarantine {
    #cachedKey: { readonly key: RequestKey | undefined; } | undefined;

    constructor(
        private readonly deps: Pick<IngressDependencies, "crashGuard" | "dialect">,
        private readonly outgoing: OutgoingRequest,
    ) {}

    /** Returns the result of a request that is quarantined and gets no attempt, or undefined for any other. */
    refusal(): Refusal | undefined {
        const { crashGuard } = this.deps;
        const retryAfterMs = crashGuard.isEmpty ? undefined : crashGuard.quarantinedForMs(this.#key());
        return retryAfterMs === undefined ? undefined : { outcome: "not-run", reason: "quarantined", retryAfterMs };
    }

    status(): QuarantineStatus {
        const { crashGuard } = this.deps;
        return crashGuard.isEmpty ? "free" : crashGuard.statusOf(this.#key());
    }

    #key(): RequestKey | undefined {
        const { method, path, headers, body } = this.outgoing;
        this.#cachedKey ??= { key: requestKeyOf({ method, path, headers, body: body.content }, this.deps.dialect) };
        return this.#cachedKey.key;
    }
}
