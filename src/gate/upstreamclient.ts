/** The one client of an upstream: HTTP/1.1 with no retries and no pipelining. */
import type { Readable } from "node:stream";
import type { Upstream } from "../config/upstream.js";
import type { Dialect } from "../dialect/dialect.js";
import type { GateCall } from "../hop/gatecall.js";
import type { Cancel } from "../http/cancel.js";
import { isConnectError } from "../http/connecterror.js";
import { guardBody } from "../http/guardbody.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { Address } from "../ids/address.js";
import type { Clock } from "../time/clock.js";
import { UpstreamConnection } from "./upstreamconnection.js";
import { UpstreamError } from "./upstreamerror.js";

/** The upstream's answer as it comes. */
type UpstreamResponse = { readonly status: number; readonly headers: HttpHeaders; readonly body: Readable; };

/** Where and how to reach the upstream. */
type ClientOptions = {
    readonly localIp: string;
    readonly dialect: Dialect;
    /** Called with the head of each answer that is the upstream's own, whatever its status. */
    readonly onResponse: (
        headers: HttpHeaders,
        exchange: { readonly sentAt: number; readonly isHealth: boolean; },
    ) => void;
    readonly clock: Clock;
    /** Told of a connection that carries nothing any more, and has been ended. */
    readonly onSilent: (address: Address) => void;
};

/** Sends requests; the error of one that fails says what is proven. */
export class UpstreamClient {
    /** The one that was used last is used first, so that those not needed end. */
    readonly #idle: UpstreamConnection[] = [];
    readonly #connections = new Set<UpstreamConnection>();
    #isClosed = false;
    /** When the newest request was sent that the upstream has answered. */
    #lastAnsweredSentAt = -Infinity;

    constructor(readonly upstream: Upstream, private readonly options: ClientOptions) {}

    /** Sends a request; throws an UpstreamError. An answer that is not to this request is an error. */
    async send(call: GateCall, headers: HttpHeaders, cancel: Cancel | undefined): Promise<UpstreamResponse> {
        const { dialect } = this.options;
        const connection = this.#acquire();
        const sentAt = this.options.clock();
        const response = await this.#request(connection, call, headers, cancel, sentAt);
        const reason = dialect.notRun(response.status, response.headers);
        const isOwnResponse = dialect.isOwnAnswer(
            response.status,
            response.headers,
            String(headers[dialect.requestId]),
        );
        if (isOwnResponse && reason !== "misdirected") {
            this.options.onResponse(response.headers, { sentAt, isHealth: false });
        }
        if (reason !== undefined) {
            response.body.resume();
            throw new UpstreamError(reason);
        }
        if (!isOwnResponse) {
            response.body.destroy();
            this.#discard(connection);
            throw new UpstreamError("foreign-answer");
        }
        return response;
    }

    /** Asks the upstream's health endpoint. Throws what the connection throws. */
    async probeHealth(
        path: string,
        timeoutMs: number,
    ): Promise<{ readonly status: number; readonly headers: HttpHeaders; }> {
        const { clock, dialect, onResponse } = this.options;
        const sentAt = clock();
        const connection = this.#acquire();
        try {
            const { statusCode, headers, body } = await connection.request({
                method: "GET",
                path,
                signal: AbortSignal.timeout(timeoutMs),
            });
            await body.dump();
            const name = dialect.upstreamName(headers);
            if (name === undefined || name === this.upstream.name) {
                onResponse(headers, { sentAt, isHealth: true });
            }
            return { status: statusCode, headers };
        }
        finally {
            this.#release(connection);
        }
    }

    /** Ends connections that carry nothing now: they may have gone silent. */
    destroyIdle(): void {
        this.#idle.splice(0).forEach(connection => this.#discard(connection));
    }

    /**
     * Records that a request had no answer in all its time. Where the upstream has answered one that was sent later, its connection
     * carried nothing, and the idle ones, which are older than that answer, go too.
     */
    recordUnanswered(sentAt: number): void {
        if (this.#lastAnsweredSentAt > sentAt) {
            this.destroyIdle();
            this.options.onSilent(this.upstream.address);
        }
    }

    async close(): Promise<void> {
        this.#isClosed = true;
        await Promise.all([...this.#connections].map(connection => connection.close()));
    }

    #acquire(): UpstreamConnection {
        const idle = this.#idle.pop();
        if (idle !== undefined) {
            return idle;
        }
        const connection = new UpstreamConnection(this.upstream.address, this.options.localIp);
        this.#connections.add(connection);
        return connection;
    }

    #release(connection: UpstreamConnection): void {
        if (this.#connections.has(connection) && !this.#isClosed) {
            this.#idle.push(connection);
        }
    }

    /** An answer too many would shift all that follow: the connection is not used again. */
    #discard(connection: UpstreamConnection): void {
        this.#connections.delete(connection);
        connection.destroy();
    }

    async #request(
        connection: UpstreamConnection,
        call: GateCall,
        headers: HttpHeaders,
        cancel: Cancel | undefined,
        sentAt: number,
    ): Promise<UpstreamResponse> {
        try {
            const response = await connection.request({
                method: call.method as "GET",
                path: call.path,
                headers,
                body: call.body,
                signal: cancel,
            });
            this.#lastAnsweredSentAt = Math.max(this.#lastAnsweredSentAt, sentAt);
            const body = guardBody(connection.checkedBody(response));
            body.once("close", () => this.#release(connection));
            return { status: response.statusCode, headers: response.headers, body };
        }
        catch (err) {
            this.#release(connection);
            throw new UpstreamError(isConnectError(err) ? "unreachable" : "upstream-broke", { cause: err });
        }
    }
}
