/** The status as a table. */
import type { GetStatusResponse, UpstreamStatus } from "../gen/winglock/operator/v1/operator_pb.js";
import { hallTable } from "./halltable.js";
import { table } from "./table.js";

const headers = [
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
const MAX_UPSTREAM_ROWS = 40;

/**
 * A line on the configuration, then one for each upstream. Of many, unless `all` are asked for, a line for each service in each hall, and
 * one for each upstream that is not up or is behind.
 */
export function statusTable(status: GetStatusResponse, all = false): string {
    const isGrouped = !all && status.upstreams.length > MAX_UPSTREAM_ROWS;
    const needsAttention = (line: UpstreamStatus): boolean => line.state !== "up" || line.revision < status.revision;
    const shown = isGrouped ? status.upstreams.filter(needsAttention) : status.upstreams;
    const rows = shown.map(line => [
        line.upstream,
        line.service,
        line.hall,
        line.limitPerSecond === undefined ? line.state : `${line.state} to ${line.limitPerSecond}/s`,
        line.state === "silent" ? "-" : `${line.revision}${line.revision < status.revision ? " (behind)" : ""}`,
        ...[line.running, line.waiting, line.limit, line.finished, line.refused].map(String),
    ]);
    const freshness = status.fresh ? "confirmed by the store" : "not confirmed by the store";
    const sections = [`revision ${status.revision}, ${freshness}`];
    if (status.evacuatedHalls.length > 0) {
        sections.push(`evacuated: ${status.evacuatedHalls.join(", ")}`);
    }
    if (isGrouped) {
        sections.push(hallTable(status));
    }
    if (!isGrouped || rows.length > 0) {
        sections.push(table(headers, rows));
    }
    return sections.join("\n");
}
