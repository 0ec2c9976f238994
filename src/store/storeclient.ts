/**
 * One daemon's client of a store that speaks HTTP: its connections, the time limits of calls, and what a failure proves.
 *
 * What is asked, and in which form, is for `Store` and `Registry` to say.
 */
import type { z } from "zod";
import { isConnectError } from "../http/connecterror.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { StoreCallKind } from "../metrics/storecallkind.js";
import { HistoryError } from "./historyerror.js";
import { StoreConnections } from "./storeconnections.js";
import { StoreError } from "./storeerror.js";
import type { StoreEvents } from "./storeevents.js";

const logger = log("connections");

/** How much later than asked for the answer to a watch may come. */
const WATCH_SLACK_MS = 1500;
/** The name of the error of a call that got no answer in time. */
const TIMED_OUT = "TimeoutError";
/** Refusals, for rate or outage, that prove that nothing was done. */
const REFUSALS: ReadonlySet<number> = new Set([httpStatus.tooManyRequests, httpStatus.serviceUnavailable]);

/** `timeoutMs` bounds each call but watches. */
type ClientOptions = StoreEvents & {
    readonly address: Address;
    readonly localIp: string;
    /** At the most, for calls and for watches each. */
    readonly connections: number;
    readonly timeoutMs: number;
    /** The header field by which the store says how often it has come back from a copy; undefined of one that does not. */
    readonly eraHeader?: string;
};

/** `era` is 0 where the store says none. */
type Dated<Value> = { readonly value: Value; readonly era: number; };
type Answer = { readonly status: number; readonly text: string; readonly era: number; };

type Call = {
    readonly kind: StoreCallKind;
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: string;
    /** Statuses that mean that there is no value; the caller knows which one of them it may be. */
    readonly empty?: readonly number[];
    /** Of a watch: how long the store may let it wait, in milliseconds. */
    readonly waitMs?: number;
    /** Calls the call off. */
    readonly signal?: AbortSignal;
};

/** Calls go by connections of their own: one that rests is there before the watches, so that it shows when all that is open has gone silent. */
type Connections = { readonly calls: StoreConnections; readonly watches: StoreConnections; };

/** A call that gets no answer may have been done; the StoreError says what is proven. */
export class StoreClient {
    #connections: Connections;
    #isRenewed = false;
    /** The latest that the store has said. */
    #era = 0;
    /** Calls off each watch that waits, with the connections that it waits on. */
    readonly #watches = new Map<AbortController, Connections>();

    constructor(private readonly options: ClientOptions) {
        this.#connections = this.#connect();
    }

    /** Makes later calls on new connections: the old ones may have gone silent. Calls under way end by their time limit. */
    renewConnections(): void {
        const { calls, watches } = this.#connections;
        this.#connections = this.#connect();
        Promise.all([calls.close(), watches.close()]).catch((err: unknown) =>
            logger.warn("Old connections to the store could not be ended.", err)
        );
    }

    /**
     * Returns the checked answer, or undefined when its status is one of `empty`. Throws a HistoryError for 410, a
     * StoreError when no answer comes, the status is another one than 200, the answer can't be read, or it was given before the store came
     * back from a copy as a later one has told.
     */
    async call<Schema extends z.ZodType>(schema: Schema, call: Call): Promise<z.infer<Schema> | undefined> {
        return (await this.callDated(schema, call))?.value;
    }

    /** The same, with the era of the store that has answered. */
    async callDated<Schema extends z.ZodType>(schema: Schema, call: Call): Promise<Dated<z.infer<Schema>> | undefined> {
        const answer = await this.#answer(call);
        return answer === undefined ? undefined : { value: this.#read(schema, answer.text), era: answer.era };
    }

    /** Makes a call whose answer has nothing to read; false when its status is one of `empty`. Throws as `call` does. */
    async isDone(call: Call): Promise<boolean> {
        return await this.#answer(call) !== undefined;
    }

    async close(): Promise<void> {
        const { calls, watches } = this.#connections;
        await Promise.all([calls.destroy(), watches.destroy()]);
    }

    async #answer(call: Call): Promise<Answer | undefined> {
        const answer = await this.#send(call);
        const { status } = answer;
        this.#refuseEarlier(answer.era);
        if (call.empty?.includes(status)) {
            return undefined;
        }
        if (status === httpStatus.gone) {
            throw new HistoryError();
        }
        if (status !== httpStatus.ok) {
            throw new StoreError(!REFUSALS.has(status), `the store answered ${status}`);
        }
        return answer;
    }

    async #send(call: Call): Promise<Answer> {
        const { kind, method, path, headers, body, waitMs } = call;
        const { calls, watches } = this.#connections;
        this.options.called(kind);
        const ended = new AbortController();
        const release = this.#bound(call, ended);
        try {
            const { signal } = ended;
            const connections = waitMs === undefined ? calls : watches;
            const { status, headers: said, text } = await connections.request({ method, path, headers, body, signal });
            this.#recordAnswer();
            this.options.counted(text.length + (body?.length ?? 0));
            return { status, text, era: this.#eraOf(said) };
        }
        catch (err) {
            this.#recordFailure(call, err);
            throw new StoreError(!isConnectError(err), "the store did not answer", { cause: err });
        }
        finally {
            release();
        }
    }

    #refuseEarlier(era: number): void {
        if (era < this.#era) {
            throw new StoreError(true, "the answer is of a time before the store came back from a copy");
        }
        if (era > this.#era && this.#era > 0) {
            logger.warn("The store has come back from a copy.", "what was written last may be gone", { era });
        }
        this.#era = era;
    }

    /** The latest known where the answer does not say. */
    #eraOf(headers: HttpHeaders): number {
        const { eraHeader } = this.options;
        const said = eraHeader === undefined ? undefined : headers[eraHeader];
        const era = Number(said);
        return said !== undefined && Number.isSafeInteger(era) && era >= 0 ? era : this.#era;
    }

    /** A call that got no answer in time may have met a silent connection, or a store that is silent: the next one tells. */
    #recordFailure({ waitMs }: Call, err: unknown): void {
        if (waitMs === undefined && (err as Error).name === TIMED_OUT) {
            this.renewConnections();
            this.#isRenewed = true;
        }
    }

    #recordAnswer(): void {
        if (this.#isRenewed) {
            this.#isRenewed = false;
            logger.warn("An open connection to the store carried nothing any more.", "a new one is answered");
            this.options.onSilent();
            this.#endOldWatches();
        }
    }

    /** What waits on the connections of before would wait in vain: its caller watches anew. */
    #endOldWatches(): void {
        [...this.#watches].filter(([, connections]) => connections !== this.#connections).forEach(([watch]) =>
            watch.abort()
        );
    }

    #connect(): Connections {
        const { address, localIp, connections: most } = this.options;
        const open = (): StoreConnections => new StoreConnections({ address, localIp, most });
        return { calls: open(), watches: open() };
    }

    /** Ends the call in time, or when its caller calls it off; the return value takes that back. */
    #bound({ waitMs, signal }: Call, ended: AbortController): () => void {
        const limitMs = waitMs === undefined ? this.options.timeoutMs : waitMs + WATCH_SLACK_MS;
        const timer = setTimeout(() => ended.abort(new DOMException("no answer in time", TIMED_OUT)), limitMs);
        const callOff = (): void => ended.abort(signal?.reason);
        signal?.addEventListener("abort", callOff);
        if (signal?.aborted) {
            callOff();
        }
        if (waitMs !== undefined) {
            this.#watches.set(ended, this.#connections);
        }
        return () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", callOff);
            this.#watches.delete(ended);
        };
    }

    #read<Schema extends z.ZodType>(schema: Schema, text: string): z.infer<Schema> {
        try {
            return schema.parse(JSON.parse(text));
        }
        catch (err) {
            throw new StoreError(true, "the store's answer can't be read", { cause: err });
        }
    }
}
