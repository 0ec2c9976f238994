/**
 * Decides whether the sender of a request treats it as repeatable by a stale rule, while a newer revision here
 * defines it as `once`.
 *
 * Such a request is refused, so that its sender looks up the rule again.
 */
import type { RequestKind } from "../../config/requestkind.js";

/** The kind that the sender decided on, and the revision of the configuration that it used. */
type SenderDecision = { readonly kind: RequestKind; readonly revision: number; };

/**
 * Returns true if the sender's kind is stale.
 *
 * `kind` is the kind by the rules of this daemon, undefined if none matches; `revision` is the revision of these rules.
 */
export function isStaleKind(sender: SenderDecision, kind: RequestKind | undefined, revision: number): boolean {
    return sender.revision < revision && sender.kind === "repeatable" && kind === "once";
}
