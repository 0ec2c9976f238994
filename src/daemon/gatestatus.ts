/** The state of a gate, as operators see it. */
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { Gate } from "../gate/gate.js";
import type { GateStatus } from "../peer/gatestatus.js";

/** What its daemon adds to the line. */
type DaemonStatus = Pick<GateStatus, "watchesStore" | "members">;

const gateState = (gate: Gate): GateStatus["state"] => {
    if (gate.isEvacuated) {
        return "evacuated";
    }
    if (gate.isClosed) {
        return "leaving";
    }
    if (gate.limitPerSecond !== undefined) {
        return "limited";
    }
    return gate.cold.isCold ? "cold" : "up";
};

/** One line of `winglock status`. */
export function gateStatus(
    gate: Gate,
    configuration: CurrentConfiguration,
    daemonStatus: DaemonStatus,
    now: number,
): GateStatus {
    const { running, waiting, limit } = gate.report();
    return {
        upstream: gate.upstream.name,
        state: gateState(gate),
        revision: configuration.revision,
        fresh: configuration.isFresh(now),
        running,
        waiting,
        limit,
        limitPerSecond: gate.limitPerSecond,
        finished: gate.finished,
        refused: gate.refused,
        ...daemonStatus,
    };
}
