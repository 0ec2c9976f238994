/** The status as a table. */
import type { GetStatusResponse } from "../gen/winglock/operator/v1/operator_pb.js";
import { table } from "./table.js";

const heads = [
    "upstream",
    "service",
    "hall",
    "state",
    "revision",
    "running",
    "waiting",
    "limit",
    "finished",
    "refused",
];

/** A line on the configuration, then one for each upstream. */
export function statusTable(status: GetStatusResponse): string {
    const rows = status.upstreams.map(line => [
        line.upstream,
        line.service,
        line.hall,
        line.state,
        line.state === "silent" ? "-" : `${line.revision}${line.revision < status.revision ? " (behind)" : ""}`,
        ...[line.running, line.waiting, line.limit, line.finished, line.refused].map(String),
    ]);
    const freshness = status.fresh ? "confirmed by the store" : "not confirmed by the store";
    return `revision ${status.revision}, ${freshness}\n${table(heads, rows)}`;
}
