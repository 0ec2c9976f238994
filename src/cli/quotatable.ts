/** Formats the quotas of teams as a table. */
import type { TeamQuota } from "../gen/winglock/operator/v1/operator_pb.js";
import { table } from "./table.js";

const headers = ["team", "per second", "burst", "counter", "refused here", "held"];

/** Returns a row for each team with a rate, as the daemon that was asked knows it. */
export function quotaTable(quotas: readonly TeamQuota[]): string {
    return table(
        headers,
        quotas.map(({ team, ratePerSecond, burst, counter, refused, held }) =>
            [team, ratePerSecond, burst, counter, refused, held].map(String)
        ),
    );
}
