/**
 * Calls a store over HTTP. Owns the connections and the time limits of calls, and decides whether a failed call may
 * have been executed. `Store` and `Registry` define the calls and their formats.
 */
import type { z } from "zod";
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import { isConnectError } from "../http/isconnecterror.js";
import { log } from "../log/log.js";
import { CallTimeLimit } from "./calltimelimit.js";
import { ConnectionMonitor } from "./connectionmonitor.js";
import { ConnectionPools } from "./connectionpools.js";
import { ConnectionReplacedError } from "./connectionreplacederror.js";
import { HistoryUnavailableError } from "./historyunavailableerror.js";
import { parseResponse } from "./parseresponse.js";
import { PendingWatches } from "./pendingwatches.js";
import type { StoreCall } from "./storecall.js";
import type { StoreClientOptions } from "./storeclientoptions.js";
import { StoreError } from "./storeerror.js";

const logger = log("connections");

/** Time after the end of a watch's waiting time within which the response may still arrive. */
const WATCH_SLACK_MS = 1500;
/** Name of the error of a call that timed out. */
const TIMEOUT_ERROR = "TimeoutError";
/** Statuses of a store that is rate limiting or unavailable; they prove that the call was not executed. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([httpStatus.tooManyRequests, httpStatus.serviceUnavailable]);

/** `era` is 0 if the store does not send one. */
type WithEra<Value> = { readonly value: Value; readonly era: number; };
type StoreResponse = { readonly status: number; readonly text: string; readonly era: number; };

/** A call without a response may have been executed; `StoreError.mayHaveBeenSent` is false if that is ruled out. */
export class StoreClient {
    #connections: ConnectionPools;
    /** True from the renewal of the connections after a timeout until the first response. */
    #isRenewedAfterTimeout = false;
    /** The latest era in a response. */
    #era = 0;
    readonly #monitor: ConnectionMonitor<ConnectionPools>;
    readonly #watches: PendingWatches;

    constructor(private readonly options: StoreClientOptions) {
        this.#connections = this.#connect();
        this.#monitor = new ConnectionMonitor({
            checkIntervalMs: options.checkIntervalMs,
            current: () => this.#connections,
            open: () => this.#connect(),
            discard: connections => connections.closeAfterCalls(),
            check: connections => this.#isResponsive(connections),
            onUnresponsive: replacement => {
                this.#replaceConnections(replacement);
                this.#endOldWatches("a check on a new connection had the first response");
            },
        });
        this.#watches = new PendingWatches({
            onBegin: () => this.#monitor.start(),
            onEnd: () => this.#monitor.stop(),
        });
    }

    /**
     * Makes later calls on new connections, because the old ones may have become unresponsive. Calls in progress end at
     * the latest by their time limits.
     */
    renewConnections(): void {
        this.#replaceConnections(this.#connect());
    }

    #replaceConnections(replacement: ConnectionPools): void {
        const replaced = this.#connections;
        this.#connections = replacement;
        replaced.closeAfterCalls();
    }

    /**
     * Returns the value of the response, or undefined if its status is one of `emptyStatuses`. Throws a
     * HistoryUnavailableError for status 410. Throws a StoreError if there is no response, its status is not 200, it
     * does not match the schema, or its era is older than that of an earlier response.
     */
    async call<Schema extends z.ZodType>(schema: Schema, call: StoreCall): Promise<z.infer<Schema> | undefined> {
        return (await this.callWithEra(schema, call))?.value;
    }

    /** Does the same as `call`, and returns the store's era with the value. */
    async callWithEra<Schema extends z.ZodType>(
        schema: Schema,
        call: StoreCall,
    ): Promise<WithEra<z.infer<Schema>> | undefined> {
        const response = await this.#request(call);
        return response === undefined ? undefined : { value: parseResponse(schema, response.text), era: response.era };
    }

    /**
     * Makes a call without reading a value; returns false if its status is one of `emptyStatuses`. Throws as `call`
     * does.
     */
    async tryCall(call: StoreCall): Promise<boolean> {
        return await this.#request(call) !== undefined;
    }

    async close(): Promise<void> {
        this.#monitor.stop();
        await this.#connections.destroy();
    }

    async #request(call: StoreCall): Promise<StoreResponse | undefined> {
        const response = await this.#send(call);
        const { status } = response;
        this.#checkEra(response.era);
        if (call.emptyStatuses?.includes(status)) {
            return undefined;
        }
        if (status === httpStatus.gone) {
            throw new HistoryUnavailableError();
        }
        if (status !== httpStatus.ok) {
            throw new StoreError(!REFUSAL_STATUSES.has(status), `the store responded with status ${status}`);
        }
        return response;
    }

    /** Returns whether the store responds on the connections, with any status. Its failures show in other calls, too. */
    async #isResponsive(connections: ConnectionPools): Promise<boolean> {
        const call = { kind: "check", method: "GET", path: this.options.checkPath } as const;
        return this.#send(call, connections).then(() => true, () => false);
    }

    async #send(call: StoreCall, connections = this.#connections): Promise<StoreResponse> {
        const { kind, method, path, headers, body, waitMs } = call;
        this.options.onCall(kind);
        const controller = new AbortController();
        const limit = this.#createTimeLimit(call, controller);
        const stopListening = this.#cancelWithCaller(call, controller);
        let endSilence = (): void => {};
        const firstData = new Promise<void>(resolve => endSilence = resolve);
        const observing = this.#observeWhenDue(call, connections, firstData);
        try {
            const { signal } = controller;
            const { status, headers: responseHeaders, text } =
                await connections[waitMs === undefined ? "calls" : "watches"]
                    .request({ method, path, headers, body, signal }, () => {
                        endSilence();
                        limit.recordData();
                    });
            this.#recordResponse(connections);
            this.options.onBytes(text.length + (body?.length ?? 0));
            return { status, text, era: this.#eraOf(responseHeaders) };
        }
        catch (err) {
            if (err instanceof ConnectionReplacedError) {
                throw err;
            }
            this.#recordFailure(call, connections, err);
            throw new StoreError(!isConnectError(err), "the store did not respond", { cause: err });
        }
        finally {
            endSilence();
            clearTimeout(observing);
            limit.end();
            stopListening();
        }
    }

    /** A watch is due at the end of its waiting time, other calls at once. Returns the timer of a watch. */
    #observeWhenDue(
        { waitMs }: StoreCall,
        connections: ConnectionPools,
        firstData: Promise<void>,
    ): NodeJS.Timeout | undefined {
        const observe = (): void => this.#monitor.observe(connections, firstData);
        return waitMs === undefined ? void observe() : setTimeout(observe, waitMs);
    }

    #checkEra(era: number): void {
        if (era < this.#era) {
            throw new StoreError(true, "the response is stale: the store has been restored from a backup since");
        }
        if (era > this.#era && this.#era > 0) {
            logger.warn("The store was restored from a backup.", "its latest writes may be lost", { era });
        }
        this.#era = era;
    }

    /** Returns the era in the response's headers, or the latest known one if they have none or an invalid one. */
    #eraOf(headers: HttpHeaders): number {
        const { eraHeader } = this.options;
        const value = eraHeader === undefined ? undefined : headers[eraHeader];
        const era = Number(value);
        return value !== undefined && Number.isSafeInteger(era) && era >= 0 ? era : this.#era;
    }

    /**
     * Renews the connections after a timeout. Either the connection or the store was unresponsive: the next call on a
     * new connection shows it. A call on connections that have been replaced shows nothing of the present ones.
     */
    #recordFailure({ waitMs }: StoreCall, connections: ConnectionPools, err: unknown): void {
        const isCurrent = connections === this.#connections;
        if (isCurrent && waitMs === undefined && (err as Error).name === TIMEOUT_ERROR) {
            this.renewConnections();
            this.#isRenewedAfterTimeout = true;
        }
    }

    #recordResponse(connections: ConnectionPools): void {
        if (this.#isRenewedAfterTimeout && connections === this.#connections) {
            this.#endOldWatches("a call on a new connection succeeded");
        }
    }

    /** Aborts the watches on old connections, which may never get a response; their callers start new ones. */
    #endOldWatches(reason: string): void {
        this.#isRenewedAfterTimeout = false;
        logger.warn("An open connection to the store was unresponsive.", reason);
        this.options.onUnresponsive();
        this.#watches.abortOld(this.#connections);
    }

    #connect(): ConnectionPools {
        const { address, localIp, connections: maxClients } = this.options;
        return new ConnectionPools({ address, localIp, maxClients });
    }

    #createTimeLimit({ waitMs }: StoreCall, controller: AbortController): CallTimeLimit {
        const { timeoutMs } = this.options;
        const abort = (): void =>
            controller.abort(new DOMException("no response within the time limit", TIMEOUT_ERROR));
        return new CallTimeLimit(abort, waitMs === undefined ? timeoutMs : waitMs + WATCH_SLACK_MS, timeoutMs);
    }

    /** Aborts the call when its caller cancels it. Returns a function that ends this, to be called when the call has ended. */
    #cancelWithCaller({ waitMs, signal }: StoreCall, controller: AbortController): () => void {
        const cancel = (): void => controller.abort(signal?.reason);
        signal?.addEventListener("abort", cancel);
        if (signal?.aborted) {
            cancel();
        }
        if (waitMs !== undefined) {
            this.#watches.add(controller, this.#connections);
        }
        return () => {
            signal?.removeEventListener("abort", cancel);
            this.#watches.remove(controller);
        };
    }
}
