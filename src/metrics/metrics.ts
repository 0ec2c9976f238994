/** Defines the metrics that the daemon exposes at /metrics. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Priority } from "../config/priority.js";
import type { ServiceName } from "../ids/servicename.js";
import type { TeamName } from "../ids/teamname.js";
import type { BodyMemory } from "../policy/admission/bodymemory.js";
import type { Arrival } from "../policy/retry/arrival.js";
import { CallerMetrics } from "./callermetrics.js";
import { ConfigurationMetrics } from "./configurationmetrics.js";
import type { ConnectionKind } from "./connectionkind.js";
import { EventLoopMetrics } from "./eventloopmetrics.js";
import { latencyBucketsS } from "./latencybuckets.js";
import { RefusalMetrics } from "./refusalmetrics.js";
import type { StoreCallKind } from "./storecallkind.js";

const MS_PER_SECOND = 1000;

/** The labels of a request that has finished. */
type FinishedRequest = { readonly service: ServiceName; readonly priority: Priority; readonly team: TeamName; };

/** Kinds of traffic that is not part of a caller's request. */
type ControlTrafficKind = "beat" | "load" | "ping" | "relief" | "quota" | "store" | "pull" | "health";

/** Each daemon has its own registry. Gauges with a callback read their value at each scrape. */
export class Metrics {
    readonly registry = new Registry();
    readonly revision = this.#gauge("winglock_revision", "The revision of the configuration that is applied.");
    readonly #requests = new Histogram({
        name: "winglock_request_seconds",
        help: "Time from a caller's request to the end of its answer.",
        labelNames: ["service", "class", "tenant", "outcome"] as const,
        buckets: latencyBucketsS,
        registers: [this.registry],
    });
    readonly #retries = new Counter({
        name: "winglock_retries_total",
        help: "Attempts after the first, by the reason for which the one before failed.",
        labelNames: ["service", "reason"] as const,
        registers: [this.registry],
    });
    readonly #arrivals = new Counter({
        name: "winglock_upstream_arrivals_total",
        help:
            "Requests that the upstreams beside this daemon received: the first of its request, or what caused one more.",
        labelNames: ["service", "arrival"] as const,
        registers: [this.registry],
    });
    readonly refusals = new RefusalMetrics(this.registry);
    readonly callers = new CallerMetrics(this.registry);
    readonly configuration = new ConfigurationMetrics(this.registry);
    readonly eventLoop = new EventLoopMetrics(this.registry);
    readonly #crashes = new Counter({
        name: "winglock_upstream_crashes_total",
        help: "Crashes of the upstreams beside this daemon with requests under way.",
        labelNames: ["service"] as const,
        registers: [this.registry],
    });
    readonly #unresponsiveConnections = new Counter({
        name: "winglock_silent_connections_total",
        help: "Open connections that were found to carry nothing any more.",
        labelNames: ["kind"] as const,
        registers: [this.registry],
    });
    readonly #storeCalls = new Counter({
        name: "winglock_store_calls_total",
        help: "Calls of the store, by what they ask for.",
        labelNames: ["kind"] as const,
        registers: [this.registry],
    });
    readonly #controlMessages = new Counter({
        name: "winglock_control_messages_total",
        help: "Messages and calls sent for control.",
        labelNames: ["kind"] as const,
        registers: [this.registry],
    });
    readonly #controlBytes = new Counter({
        name: "winglock_control_bytes_total",
        help: "Bytes sent for control.",
        labelNames: ["kind"] as const,
        registers: [this.registry],
    });

    /** Adds a gauge for the age of the store's last confirmation of the configuration; `ageMs` is in milliseconds. */
    showAge(ageMs: () => number): void {
        this.#show(
            "winglock_configuration_age_seconds",
            "Time since the store last confirmed the revision.",
            () => ageMs() / MS_PER_SECOND,
        );
    }

    /** Adds a gauge for whether the newest document that this daemon has read from the store is rejected. */
    showRejected(isRejected: () => boolean): void {
        this.#show(
            "winglock_configuration_rejected",
            "1 while a newer stored configuration is rejected, as this daemon has read it.",
            () => Number(isRejected()),
        );
    }

    /** Adds gauges for the number of known daemons, with this one, and for whether this one is its hall's watcher. */
    showMembership(members: () => number, watches: () => boolean): void {
        this.#show("winglock_members", "Daemons that are known, this one too.", members);
        this.#show(
            "winglock_watches_store",
            "1 while this daemon watches the store for its hall.",
            () => Number(watches()),
        );
    }

    /** Adds counters for what is exchanged with other regions; `totals` returns the counts since the start. */
    showRegionTraffic(totals: (direction: "sent" | "received") => { bytes: number; messages: number; }): void {
        const show = (name: string, help: string, field: "bytes" | "messages"): void => {
            new Counter({
                name,
                help,
                labelNames: ["direction"] as const,
                registers: [this.registry],
                collect() {
                    this.reset();
                    this.inc({ direction: "sent" }, totals("sent")[field]);
                    this.inc({ direction: "received" }, totals("received")[field]);
                },
            });
        };
        show("winglock_region_bytes_total", "Bytes exchanged with daemons of other regions.", "bytes");
        show("winglock_region_messages_total", "Control messages exchanged with other regions.", "messages");
    }

    /** Adds a gauge for the number of evacuated halls. */
    showEvacuated(count: () => number): void {
        this.#show("winglock_evacuated_halls", "Halls that operators have evacuated, as this daemon knows.", count);
    }

    /** Adds a gauge for the number of local upstreams that state a rate limit. */
    showLimited(count: () => number): void {
        this.#show(
            "winglock_limited_upstreams",
            "Upstreams beside this daemon that state how many requests a second they take.",
            count,
        );
    }

    /** Adds a gauge for the number of quarantined requests. */
    showQuarantined(count: () => number): void {
        this.#show(
            "winglock_quarantined_requests",
            "Requests that are not run: upstreams have crashed under them.",
            count,
        );
    }

    /** Adds a gauge for the requests that wait behind others on their connections. */
    showWaitingRequests(count: () => number): void {
        this.#show(
            "winglock_pipelined_waiting_requests",
            "Requests that wait behind others on their caller's connection.",
            count,
        );
    }

    /** Adds gauges for the bytes of the bodies that are held, and for those refused or given up since the start. */
    showBodyMemory(memory: Pick<BodyMemory, "heldBytes" | "refusedCount" | "evictedCount">): void {
        this.#show(
            "winglock_body_memory_bytes",
            "Bytes of request bodies that are held or may be received.",
            () => memory.heldBytes,
        );
        this.#show(
            "winglock_body_memory_refused",
            "Requests refused since the start because there was no memory for their bodies.",
            () => memory.refusedCount,
        );
        this.#show(
            "winglock_body_memory_evicted",
            "Unfinished bodies given up since the start because others needed the memory.",
            () => memory.evictedCount,
        );
    }

    /** Records the end of a caller's request. The team's label is `tenant`, the name that dashboards use for teams. */
    recordFinishedRequest({ service, priority, team }: FinishedRequest, outcome: string, elapsedMs: number): void {
        this.#requests.observe({
            service,
            class: priority,
            tenant: team,
            outcome,
        }, elapsedMs / MS_PER_SECOND);
    }

    /** Records an attempt after the first of a request. */
    countRetry(service: ServiceName, reason: string): void {
        this.#retries.inc({ service, reason });
    }

    /** Records that a local upstream has received a request. */
    countArrival(service: ServiceName, arrival: Arrival): void {
        this.#arrivals.inc({ service, arrival });
    }

    /** Records that a local upstream has crashed with requests in flight. */
    countCrash(service: ServiceName): void {
        this.#crashes.inc({ service });
    }

    /** Records an open connection that was found to be unresponsive. */
    countUnresponsiveConnection(kind: ConnectionKind): void {
        this.#unresponsiveConnections.inc({ kind });
    }

    /** Records a call to the store. */
    countStoreCall(kind: StoreCallKind): void {
        this.#storeCalls.inc({ kind });
    }

    /** Records a message or call of control traffic and its size. */
    countControlTraffic(kind: ControlTrafficKind, bytes: number): void {
        this.#controlMessages.inc({ kind });
        this.#controlBytes.inc({ kind }, bytes);
    }

    #show(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }

    #gauge(name: string, help: string): Gauge {
        return new Gauge({ name, help, registers: [this.registry] });
    }
}
