/** Encodes the result of a change as the response of the schema. */
import { create } from "@bufbuild/protobuf";
import type { ChangeResult } from "../distribution/changeresult.js";
import {
    type ApplyChangesResponse,
    ApplyChangesResponseSchema,
    ChangeOutcome,
} from "../gen/winglock/operator/v1/operator_pb.js";

const PROTO_OUTCOMES: Readonly<Record<ChangeResult["type"], ChangeOutcome>> = {
    "accepted": ChangeOutcome.ACCEPTED,
    "dry-run": ChangeOutcome.DRY_RUN,
    "conflict": ChangeOutcome.CONFLICT,
    "invalid": ChangeOutcome.INVALID,
    "not-applied": ChangeOutcome.NOT_APPLIED,
    "unknown": ChangeOutcome.UNKNOWN,
};

/** Returns the response; fields that the result does not have keep their zero value. */
export function encodeChangeResult(result: ChangeResult): ApplyChangesResponse {
    const conflict = result.type === "conflict" ? result.latestChange : undefined;
    return create(ApplyChangesResponseSchema, {
        outcome: PROTO_OUTCOMES[result.type],
        revision: "revision" in result ? BigInt(result.revision) : 0n,
        difference: "difference" in result ? [...result.difference] : [],
        issues: "issues" in result ? result.issues.map(issue => ({ ...issue })) : [],
        conflictingChangeId: conflict?.id ?? "",
        conflictingRevision: BigInt(conflict?.revision ?? 0),
    });
}
