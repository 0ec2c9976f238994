/** Determines the status of a gate that operators see. */
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { Gate } from "../gate/gate.js";
import type { GateStatus } from "../peer/gatestatus.js";

/** The fields that are the same for all gates of a daemon. */
type DaemonStatus = Pick<GateStatus, "watchesStore" | "members" | "regionTraffic" | "rejection">;

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

/** Returns one line of `winglock status`. */
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
