/**
 * Calls a store over HTTP. Owns the connections and the time limits of calls, and decides whether a failed call may
 * have been executed. `Store` and `Registry` define the calls and their formats.
 */
import type { z } from "zod";
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import { isConnectError } from "../http/isconnecterror.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { StoreCallKind } from "../metrics/storecallkind.js";
import { CallTimeLimit } from "./calltimelimit.js";
import { HistoryUnavailableError } from "./historyunavailableerror.js";
import { StoreConnections } from "./storeconnections.js";
import { StoreError } from "./storeerror.js";
import type { StoreEvents } from "./storeevents.js";

const logger = log("connections");

/** Time after the end of a watch's waiting time within which the response may still arrive. */
const WATCH_SLACK_MS = 1500;
/** Name of the error of a call that timed out. */
const TIMEOUT_ERROR = "TimeoutError";
/** Statuses of a store that is rate limiting or unavailable; they prove that the call was not executed. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([httpStatus.tooManyRequests, httpStatus.serviceUnavailable]);

/** `timeoutMs` limits the time without data of each call; watches may wait longer for the first. */
type ClientOptions = StoreEvents & {
    readonly address: Address;
    readonly localIp: string;
    /** Maximum number of connections for calls and for watches each. */
    readonly connections: number;
    readonly timeoutMs: number;
    /**
     * The response header with the store's era, which rises with each restore from a backup; undefined if the store
     * does not send one.
     */
    readonly eraHeader?: string;
};

/** `era` is 0 if the store does not send one. */
type WithEra<Value> = { readonly value: Value; readonly era: number; };
type StoreResponse = { readonly status: number; readonly text: string; readonly era: number; };

type Call = {
    readonly kind: StoreCallKind;
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: string;
    /** Statuses that mean that there is no value; the result does not show which of them was received. */
    readonly emptyStatuses?: readonly number[];
    /** Time for which the store may hold a watch open, in milliseconds; undefined for other calls. */
    readonly waitMs?: number;
    /** Cancels the call. */
    readonly signal?: AbortSignal;
};

/**
 * Watches have connections of their own. A call then reuses an idle connection that is older than the pending watches,
 * and so detects when all open connections have become unresponsive.
 */
type Connections = { readonly calls: StoreConnections; readonly watches: StoreConnections; };

/** A call without a response may have been executed; `StoreError.mayHaveBeenSent` is false if that is ruled out. */
export class StoreClient {
    #connections: Connections;
    /** True from the renewal of the connections after a timeout until the first response. */
    #isRenewedAfterTimeout = false;
    /** The latest era in a response. */
    #era = 0;
    /** The controllers that cancel the pending watches, with the connections that these use. */
    readonly #watches = new Map<AbortController, Connections>();

    constructor(private readonly options: ClientOptions) {
        this.#connections = this.#connect();
    }

    /**
     * Makes later calls on new connections, because the old ones may have become unresponsive. Calls in progress end at
     * the latest by their time limits.
     */
    renewConnections(): void {
        const { calls, watches } = this.#connections;
        this.#connections = this.#connect();
        Promise.all([calls.close(), watches.close()]).catch((err: unknown) =>
            logger.warn("Closing the old connections to the store failed.", err)
        );
    }

    /**
     * Returns the value of the response, or undefined if its status is one of `emptyStatuses`. Throws a
     * HistoryUnavailableError for status 410. Throws a StoreError if there is no response, its status is not 200, it
     * does not match the schema, or its era is older than that of an earlier response.
     */
    async call<Schema extends z.ZodType>(schema: Schema, call: Call): Promise<z.infer<Schema> | undefined> {
        return (await this.callWithEra(schema, call))?.value;
    }

    /** Does the same as `call`, and returns the store's era with the value. */
    async callWithEra<Schema extends z.ZodType>(
        schema: Schema,
        call: Call,
    ): Promise<WithEra<z.infer<Schema>> | undefined> {
        const response = await this.#request(call);
        return response === undefined ? undefined : { value: this.#parse(schema, response.text), era: response.era };
    }

    /**
     * Makes a call without reading a value; returns false if its status is one of `emptyStatuses`. Throws as `call`
     * does.
     */
    async tryCall(call: Call): Promise<boolean> {
        return await this.#request(call) !== undefined;
    }

    async close(): Promise<void> {
        const { calls, watches } = this.#connections;
        await Promise.all([calls.destroy(), watches.destroy()]);
    }

    async #request(call: Call): Promise<StoreResponse | undefined> {
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

    async #send(call: Call): Promise<StoreResponse> {
        const { kind, method, path, headers, body, waitMs } = call;
        const { calls, watches } = this.#connections;
        this.options.onCall(kind);
        const controller = new AbortController();
        const limit = this.#createTimeLimit(call, controller);
        const stopListening = this.#cancelWithCaller(call, controller);
        try {
            const { signal } = controller;
            const connections = waitMs === undefined ? calls : watches;
            const { status, headers: responseHeaders, text } = await connections.request(
                { method, path, headers, body, signal },
                () => limit.recordData(),
            );
            this.#recordResponse();
            this.options.onBytes(text.length + (body?.length ?? 0));
            return { status, text, era: this.#eraOf(responseHeaders) };
        }
        catch (err) {
            this.#recordFailure(call, err);
            throw new StoreError(!isConnectError(err), "the store did not respond", { cause: err });
        }
        finally {
            limit.end();
            stopListening();
        }
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
     * new connection shows it.
     */
    #recordFailure({ waitMs }: Call, err: unknown): void {
        if (waitMs === undefined && (err as Error).name === TIMEOUT_ERROR) {
            this.renewConnections();
            this.#isRenewedAfterTimeout = true;
        }
    }

    #recordResponse(): void {
        if (this.#isRenewedAfterTimeout) {
            this.#isRenewedAfterTimeout = false;
            logger.warn("An open connection to the store was unresponsive.", "a call on a new connection succeeded");
            this.options.onUnresponsive();
            this.#abortOldWatches();
        }
    }

    /** Aborts the watches on old connections, which may never get a response; their callers start new ones. */
    #abortOldWatches(): void {
        [...this.#watches].filter(([, connections]) => connections !== this.#connections).forEach(([watch]) =>
            watch.abort()
        );
    }

    #connect(): Connections {
        const { address, localIp, connections: maxClients } = this.options;
        const open = (): StoreConnections => new StoreConnections({ address, localIp, maxClients });
        return { calls: open(), watches: open() };
    }

    #createTimeLimit({ waitMs }: Call, controller: AbortController): CallTimeLimit {
        const { timeoutMs } = this.options;
        const abort = (): void =>
            controller.abort(new DOMException("no response within the time limit", TIMEOUT_ERROR));
        return new CallTimeLimit(abort, waitMs === undefined ? timeoutMs : waitMs + WATCH_SLACK_MS, timeoutMs);
    }

    /** Aborts the call when its caller cancels it. Returns a function that ends this, to be called when the call has ended. */
    #cancelWithCaller({ waitMs, signal }: Call, controller: AbortController): () => void {
        const cancel = (): void => controller.abort(signal?.reason);
        signal?.addEventListener("abort", cancel);
        if (signal?.aborted) {
            cancel();
        }
        if (waitMs !== undefined) {
            this.#watches.set(controller, this.#connections);
        }
        return () => {
            signal?.removeEventListener("abort", cancel);
            this.#watches.delete(controller);
        };
    }

    #parse<Schema extends z.ZodType>(schema: Schema, text: string): z.infer<Schema> {
        try {
            return schema.parse(JSON.parse(text));
        }
        catch (err) {
            throw new StoreError(true, "the store's response is invalid", { cause: err });
        }
    }
}
