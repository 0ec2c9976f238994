/** Formats the status of many upstreams as a table by hall and service. */
import type { GetStatusResponse, UpstreamStatus } from "../gen/winglock/operator/v1/operator_pb.js";
import { table } from "./table.js";

const headers = [
    "hall",
    "service",
    "upstreams",
    "up",
    "leaving",
    "evacuated",
    "limited",
    "cold",
    "silent",
    "behind",
    "running",
    "waiting",
    "limit",
];

const sum = (lines: readonly UpstreamStatus[], read: (line: UpstreamStatus) => number): string =>
    String(lines.reduce((total, line) => total + read(line), 0));

const groupRow = (lines: readonly UpstreamStatus[], revision: bigint): string[] => {
    const count = (test: (line: UpstreamStatus) => boolean): string => String(lines.filter(test).length);
    return [
        lines[0]!.hall,
        lines[0]!.service,
        String(lines.length),
        count(line => line.state === "up"),
        count(line => line.state === "leaving"),
        count(line => line.state === "evacuated"),
        count(line => line.state === "limited"),
        count(line => line.state === "cold"),
        count(line => line.state === "silent"),
        count(line => line.state !== "silent" && line.revision < revision),
        sum(lines, line => line.running),
        sum(lines, line => line.waiting),
        sum(lines, line => line.limit),
    ];
};

/**
 * Returns the lines that name the hosts that watch the store and the hosts that know fewer daemons than others. The
 * number of known daemons is 0 where the configuration names the upstreams.
 */
const storeAndMemberLines = (upstreams: readonly UpstreamStatus[]): string[] => {
    const halls = [...new Set(upstreams.map(line => line.hall))].sort();
    const hostsOf = (lines: readonly UpstreamStatus[]): string => [...new Set(lines.map(line => line.host))].join(", ");
    const watchers = halls.map(hall => {
        const watching = upstreams.filter(line => line.hall === hall && line.watchesStore);
        return `hall ${hall}: the store is watched by ${
            watching.length > 0 ? hostsOf(watching) : "no host with an upstream"
        }`;
    });
    const maxMembers = Math.max(...upstreams.map(line => line.members));
    const incomplete = upstreams.filter(line => line.state !== "silent" && line.members < maxMembers);
    return incomplete.length === 0
        ? watchers
        : [...watchers, `fewer daemons than ${maxMembers} are known to ${hostsOf(incomplete)}`];
};

/** Returns a row for each service in each hall, and the lines on store watchers and incomplete member lists. */
export function hallTable({ upstreams, revision }: GetStatusResponse): string {
    const groups = new Map<string, UpstreamStatus[]>();
    upstreams.forEach(line => {
        const key = `${line.hall} ${line.service}`;
        groups.set(key, [...groups.get(key) ?? [], line]);
    });
    const sorted = [...groups].sort(([a], [b]) => a < b ? -1 : 1).map(([, lines]) => groupRow(lines, revision));
    return [table(headers, sorted), ...storeAndMemberLines(upstreams)].join("\n");
}
