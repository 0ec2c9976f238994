/** Routes the operators' calls: decodes the requests of the schema and encodes the responses. */
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ConnectRouter } from "@connectrpc/connect";
import { ConfigError } from "../config/configerror.js";
import type { Issue } from "../config/issue.js";
import { parse } from "../config/parse.js";
import {
    type ApplyChangesRequest,
    type ApplyChangesResponse,
    ChangeOutcome,
    ExplainRequestResponseSchema,
    GetStatusResponseSchema,
    OperatorService,
    UpstreamStatusSchema,
} from "../gen/winglock/operator/v1/operator_pb.js";
import { ChangeId } from "../ids/changeid.js";
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
    });

const explainUrl = (api: OperatorApi, method: string, url: string): ReturnType<OperatorApi["explain"]> => {
    if (!URL.canParse(url)) {
        throw new ConnectError(`url: must be an absolute URL; got ${JSON.stringify(url)}`, Code.InvalidArgument);
    }
    return api.explain(method.toUpperCase(), new URL(url));
};

/** Returns a function that registers the calls of the OperatorService with a router. */
export function operatorRoutes(api: OperatorApi): (router: ConnectRouter) => void {
    return router =>
        router.service(OperatorService, {
            getConfiguration: () => ({ configuration: encodeConfiguration(api.document), fresh: api.isFresh }),
            applyChanges: req => applyChanges(api, req),
            resolveChange: req => resolveChange(api, req.changeId),
            getStatus: async () =>
                create(GetStatusResponseSchema, {
                    revision: BigInt(api.document.revision),
                    fresh: api.isFresh,
                    evacuatedHalls: [...api.evacuatedHalls],
                    upstreams: (await api.status()).map(encodeStatus),
                    quotas: api.quotas.map(quota => ({ ...quota, refused: BigInt(quota.refused) })),
                }),
            explainRequest: req => {
                const { rule, kind, kindReason, candidates } = explainUrl(api, req.method, req.url);
                return create(ExplainRequestResponseSchema, {
                    rule: rule?.name ?? "",
                    service: rule?.service ?? "",
                    priority: rule === undefined ? undefined : protoPriority[rule.priority],
                    kind: kind === undefined ? undefined : protoRequestKind[kind],
                    tenant: rule?.tenant ?? "",
                    timeLimitMs: rule?.timeLimitMs ?? 0,
                    candidates: candidates.map(candidate => ({ ...candidate })),
                    kindReason,
                });
            },
        });
}
