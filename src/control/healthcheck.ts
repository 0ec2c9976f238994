/** Asks the local upstream how it is: the only daemon that does, and under a hard budget. */
import { request } from "undici";
import type { Gate } from "../gate/gate.js";
import { headerName } from "../hop/headername.js";
import type { Metrics } from "../metrics/metrics.js";
import { log } from "../time/log.js";

const debug = log("health");

const TIMEOUT_MS = 500;
const BYTES = 200;
const REASON = "upstream";

/** `perSecond` is the budget of questions; `path` is the upstream's endpoint. */
type HealthOptions = { readonly path: string; readonly perSecond: number; };

/** Believes an upstream that says it leaves, and one that says it is back; nothing else it says is believed. */
export class HealthCheck {
    #timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly options: HealthOptions,
        private readonly gates: () => Iterable<Gate>,
        private readonly metrics: Metrics,
    ) {}

    start(): void {
        if (this.options.perSecond > 0) {
            this.#timer = setInterval(() => void this.#askAll(), 1000 / this.options.perSecond);
        }
    }

    stop(): void {
        clearInterval(this.#timer);
    }

    async #askAll(): Promise<void> {
        for (const gate of this.gates()) {
            await this.#ask(gate);
        }
    }

    async #ask(gate: Gate): Promise<void> {
        try {
            const { headers, body } = await request(`http://${gate.upstream.address}${this.options.path}`, {
                signal: AbortSignal.timeout(TIMEOUT_MS),
            });
            await body.dump();
            this.metrics.spent("health", BYTES);
            this.#believe(gate, headers[headerName.leaving] !== undefined);
        }
        catch (err) {
            debug("%s said nothing of its health: %s.", gate.upstream.name, err);
        }
    }

    #believe(gate: Gate, leaving: boolean): void {
        if (leaving) {
            gate.leave(REASON);
        }
        else {
            gate.reopen(REASON);
        }
    }
}
