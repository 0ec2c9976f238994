/**
 * Did the sender of a request decide by older rules that it may run twice, where the newer ones here say that it may not? Then
 * the request is refused, and its sender looks the rule up again.
 */
import type { Kind } from "../../config/kind.js";

/** What the sender decided, by which revision. */
type Sent = { readonly kind: Kind; readonly revision: number; };

/** `kind` is by the rules here, undefined where none matches; `revision` is theirs. */
export function isStaleKind(sent: Sent, kind: Kind | undefined, revision: number): boolean {
    return sent.revision < revision && sent.kind === "repeatable" && kind === "once";
}
