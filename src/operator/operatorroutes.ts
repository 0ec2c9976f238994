/** Routes the operators' calls: decodes the requests of the schema and encodes the responses. */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { Code, ConnectError, type ConnectRouter } from "@connectrpc/connect";
import { z } from "zod";
import { ConfigError } from "../config/configerror.js";
import type { Issue } from "../config/issue.js";
import { parse } from "../config/parse.js";
import {
    type ApplyChangesRequest,
    type ApplyChangesResponse,
    ChangeOutcome,
    type ExplainRequestRequest,
    ExplainRequestResponseSchema,
    type GetStatusResponse,
    GetStatusResponseSchema,
    OperatorService,
    type RejectionSchema,
    UpstreamStatusSchema,
} from "../gen/winglock/operator/v1/operator_pb.js";
import { ChangeId } from "../ids/changeid.js";
import { KeyDigest } from "../ids/keydigest.js";
import { TeamName } from "../ids/teamname.js";
import { decodeChange } from "./decodechange.js";
import { encodeChangeResult } from "./encodechangeresult.js";
import { encodeConfiguration } from "./encodeconfiguration.js";
import type { OperatorApi } from "./operatorapi.js";
import { protoPriority } from "./protopriority.js";
import { protoRequestKind } from "./protorequestkind.js";
import type { StatusLine } from "./statusline.js";

const prefixPaths = (path: string, issues: readonly Issue[]): Issue[] =>
    issues.map(issue => ({ ...issue, path: issue.path === "" ? path : `${path}.${issue.path}` }));

const parseAt = <Value>(path: string, read: () => Value): Value => {
    try {
        return read();
    }
    catch (err) {
        throw err instanceof ConfigError ? new ConfigError(prefixPaths(path, err.issues)) : err;
    }
};

const applyChanges = async (api: OperatorApi, req: ApplyChangesRequest): Promise<ApplyChangesResponse> => {
    try {
        const id = parseAt("change_id", () => parse(ChangeId, req.changeId));
        const changes = req.changes.map((change, index) => parseAt(`changes.${index}`, () => decodeChange(change)));
        const baseRevision = Number(req.baseRevision);
        return encodeChangeResult(await api.apply({ id, baseRevision, changes, dryRun: req.dryRun }));
    }
    catch (err) {
        if (err instanceof ConfigError) {
            return encodeChangeResult({ type: "invalid", issues: err.issues });
        }
        throw err;
    }
};

const resolveChange = async (
    api: OperatorApi,
    changeId: string,
): Promise<{ outcome: ChangeOutcome; revision: bigint; }> => {
    try {
        const revision = await api.findRevision(parse(ChangeId, changeId));
        const outcome = revision === undefined ? ChangeOutcome.NOT_APPLIED : ChangeOutcome.ACCEPTED;
        return { outcome, revision: BigInt(revision ?? 0) };
    }
    catch (err) {
        if (err instanceof ConfigError) {
            throw new ConnectError(err.message, Code.InvalidArgument);
        }
        return { outcome: ChangeOutcome.UNKNOWN, revision: 0n };
    }
};

const encodeStatus = ({ upstream, gate }: StatusLine): ReturnType<typeof create<typeof UpstreamStatusSchema>> =>
    create(UpstreamStatusSchema, {
        ...gate,
        upstream: upstream.name,
        service: upstream.service,
        hall: upstream.hall,
        host: upstream.host,
        state: gate?.state ?? "silent",
        revision: BigInt(gate?.revision ?? 0),
        finished: BigInt(gate?.finished ?? 0),
        refused: BigInt(gate?.refused ?? 0),
        regionSentBytes: BigInt(gate?.regionTraffic?.sentBytes ?? 0),
        regionReceivedBytes: BigInt(gate?.regionTraffic?.receivedBytes ?? 0),
        regionSentMessages: BigInt(gate?.regionTraffic?.sentMessages ?? 0),
    });

/** Returns the rejection that was seen first among those of all daemons, or undefined if no daemon reports one. */
const findRejection = (lines: readonly StatusLine[]): MessageInitShape<typeof RejectionSchema> | undefined => {
    const rejections = lines.flatMap(({ gate }) => gate?.rejection ?? []);
    const first = rejections.sort((one, other) => other.ageMs - one.ageMs)[0];
    return first && { fields: [...first.fields], ageMs: BigInt(first.ageMs) };
};

const getStatus = async (api: OperatorApi): Promise<GetStatusResponse> => {
    const lines = await api.status();
    return create(GetStatusResponseSchema, {
        revision: BigInt(api.document.revision),
        fresh: api.isFresh,
        evacuatedHalls: [...api.evacuatedHalls],
        upstreams: lines.map(encodeStatus),
        rejection: findRejection(lines),
        quotas: api.quotas.map(quota => ({ ...quota, refused: BigInt(quota.refused) })),
    });
};

const Caller = z.object({ team: TeamName.optional(), keyDigest: KeyDigest.optional() });

const explainRequest = (
    api: OperatorApi,
    { method, url, team, keyDigest }: ExplainRequestRequest,
): ReturnType<OperatorApi["explain"]> => {
    if (!URL.canParse(url)) {
        throw new ConnectError(`url: must be an absolute URL; got ${JSON.stringify(url)}`, Code.InvalidArgument);
    }
    const caller = Caller.safeParse({ team: team || undefined, keyDigest: keyDigest || undefined });
    if (!caller.success) {
        const fields = caller.error.issues.map(({ path, message }) => `${path.join(".")}: ${message}`);
        throw new ConnectError(fields.join("\n"), Code.InvalidArgument);
    }
    return api.explain({ method: method.toUpperCase(), url: new URL(url), ...caller.data });
};

/** Returns a function that registers the calls of the OperatorService with a router. */
export function operatorRoutes(api: OperatorApi): (router: ConnectRouter) => void {
    return router =>
        router.service(OperatorService, {
            getConfiguration: () => ({ configuration: encodeConfiguration(api.document), fresh: api.isFresh }),
            applyChanges: req => applyChanges(api, req),
            resolveChange: req => resolveChange(api, req.changeId),
            getStatus: () => getStatus(api),
            explainRequest: req => {
                const { rule, kind, kindReason, candidates, team, priority, regions, ...access } = explainRequest(
                    api,
                    req,
                );
                return create(ExplainRequestResponseSchema, {
                    rule: rule?.name ?? "",
                    service: rule?.service ?? "",
                    ...access,
                    regions: [...regions ?? []],
                    noRegion: regions?.length === 0,
                    priority: priority && protoPriority[priority],
                    kind: kind === undefined ? undefined : protoRequestKind[kind],
                    tenant: team ?? "",
                    timeLimitMs: rule?.timeLimitMs ?? 0,
                    candidates: candidates.map(candidate => ({ ...candidate })),
                    kindReason,
                });
            },
        });
}
