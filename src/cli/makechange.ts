/** Makes a change through a daemon and prints its outcome. */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { randomUUID } from "node:crypto";
import {
    ApplyChangesRequestSchema,
    type ApplyChangesResponse,
    ChangeOutcome,
    type ChangeSchema,
} from "../gen/winglock/operator/v1/operator_pb.js";
import { CliError } from "./clierror.js";
import { exitCode } from "./exitcode.js";
import type { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";

/** `base` is the revision that the change is based on. */
type ChangeFlags = {
    readonly json: boolean;
    readonly dryRun: boolean;
    readonly changeId: string | undefined;
    readonly base: number | undefined;
};

type Outcome = { readonly text: string; readonly code: number; };

const formatIssues = (res: ApplyChangesResponse): string =>
    res.issues.map(issue => `${issue.path || "(top)"}: ${issue.message}`).join("\n");

const describeOutcome = (res: ApplyChangesResponse, id: string): Outcome => {
    switch (res.outcome) {
        case ChangeOutcome.ACCEPTED:
            return {
                text: [`accepted as revision ${res.revision}`, ...res.difference].join("\n"),
                code: exitCode.done,
            };
        case ChangeOutcome.DRY_RUN:
            return { text: [`dry run on revision ${res.revision}`, ...res.difference].join("\n"), code: exitCode.done };
        case ChangeOutcome.CONFLICT: {
            const conflicting = `${res.conflictingChangeId || "(none)"} made revision ${res.conflictingRevision}`;
            return {
                text: `conflict: the newest revision is ${res.revision}; change ${conflicting}`,
                code: exitCode.conflict,
            };
        }
        case ChangeOutcome.INVALID:
            return { text: `invalid:\n${formatIssues(res)}`, code: exitCode.invalid };
        case ChangeOutcome.NOT_APPLIED:
            return { text: `not applied:\n${formatIssues(res)}`, code: exitCode.failed };
        default:
            return { text: `unknown: retry with --change-id ${id}\n${formatIssues(res)}`, code: exitCode.unknown };
    }
};

/** Prints the outcome; throws a CliError if the change was neither accepted nor a dry run. */
export async function makeChange(
    client: OperatorClient,
    changes: MessageInitShape<typeof ChangeSchema>[],
    flags: ChangeFlags,
): Promise<void> {
    const changeId = flags.changeId ?? randomUUID();
    const { dryRun } = flags;
    const baseRevision = BigInt(flags.base ?? 0);
    const req = create(ApplyChangesRequestSchema, { baseRevision, changeId, changes, dryRun });
    const res = await client.call(operator => operator.applyChanges(req));
    const { text, code } = describeOutcome(res, changeId);
    if (code !== exitCode.done) {
        throw new CliError(code, text);
    }
    output(flags.json, { changeId, revision: res.revision, difference: res.difference, dryRun }, text);
}
