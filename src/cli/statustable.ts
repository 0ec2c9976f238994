/** Formats the status as a table. */
import type { GetStatusResponse, UpstreamStatus } from "../gen/winglock/operator/v1/operator_pb.js";
import { formatRejection } from "./formatrejection.js";
import { hallTable } from "./halltable.js";
import { quotaTable } from "./quotatable.js";
import { regionLines } from "./regionlines.js";
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

/** About what fits on a screen. With more upstreams the table is grouped by hall and service. */
const MAX_UPSTREAM_ROWS = 40;

/**
 * Returns a line on the configuration and a row for each upstream. If there are many upstreams and `all` is false,
 * returns a row for each service in each hall, and one for each upstream that is not up or has an older revision.
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
    if (status.rejection !== undefined) {
        sections.push(formatRejection(status.rejection));
    }
    if (status.evacuatedHalls.length > 0) {
        sections.push(`evacuated: ${status.evacuatedHalls.join(", ")}`);
    }
    sections.push(...regionLines(status.upstreams));
    if (status.quotas.length > 0) {
        sections.push(quotaTable(status.quotas));
    }
    if (isGrouped) {
        sections.push(hallTable(status));
    }
    if (!isGrouped || rows.length > 0) {
        sections.push(table(headers, rows));
    }
    return sections.join("\n");
}
