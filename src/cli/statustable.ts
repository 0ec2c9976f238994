/** The status as a table. */
import type { GetStatusResponse, UpstreamStatus } from "../gen/winglock/operator/v1/operator_pb.js";
import { hallTable } from "./halltable.js";
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

/** More lines than a screen holds: a table by hall and service is read instead, and then the lines that need a look. */
const MANY = 40;

/**
 * A line on the configuration, then one for each upstream. Of many, unless `all` are asked for, a line for each service in each hall, and
 * one for each upstream that is not up or is behind.
 */
export function statusTable(status: GetStatusResponse, all = false): string {
    const isLong = !all && status.upstreams.length > MANY;
    const needsLook = (line: UpstreamStatus): boolean => line.state !== "up" || line.revision < status.revision;
    const shown = isLong ? status.upstreams.filter(needsLook) : status.upstreams;
    const rows = shown.map(line => [
        line.upstream,
        line.service,
        line.hall,
        line.limitPerSecond === undefined ? line.state : `${line.state} to ${line.limitPerSecond}/s`,
        line.state === "silent" ? "-" : `${line.revision}${line.revision < status.revision ? " (behind)" : ""}`,
        ...[line.running, line.waiting, line.limit, line.finished, line.refused].map(String),
    ]);
    const freshness = status.fresh ? "confirmed by the store" : "not confirmed by the store";
    const parts = [`revision ${status.revision}, ${freshness}`];
    if (status.evacuatedHalls.length > 0) {
        parts.push(`evacuated: ${status.evacuatedHalls.join(", ")}`);
    }
    if (isLong) {
        parts.push(hallTable(status));
    }
    if (!isLong || rows.length > 0) {
        parts.push(table(heads, rows));
    }
    return parts.join("\n");
}
