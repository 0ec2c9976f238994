/** Sends HTTP/1.1 requests to one upstream, without retries or pipelining. */
import type { Readable } from "node:stream";
import type { Upstream } from "../config/upstream.js";
import type { Dialect } from "../dialect/dialect.js";
import type { GateCall } from "../hop/gatecall.js";
import type { Cancellation } from "../http/cancellation.js";
import { discardBody } from "../http/discardbody.js";
import { drainResponse } from "../http/drainresponse.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { ignoreBodyErrors } from "../http/ignorebodyerrors.js";
import { isConnectError } from "../http/isconnecterror.js";
import type { Address } from "../ids/address.js";
import type { Clock } from "../time/clock.js";
import { UpstreamConnection } from "./upstreamconnection.js";
import { UpstreamError } from "./upstreamerror.js";

/** A response whose body may still be arriving. */
type UpstreamResponse = { readonly status: number; readonly headers: HttpHeaders; readonly body: Readable; };

/** Cancellation and callbacks of one request. */
type SendOptions = {
    readonly cancel: Cancellation | undefined;
    /** Called when a connection has been established for the request; not called if an open one is reused. */
    readonly onConnected: () => void;
    /** Called immediately before the request is written; it fails with the returned error instead, if there is one. */
    readonly checkWrite: () => UpstreamError | undefined;
    /** Time after which no attempt with the request's id is sent. */
    readonly deadline: number;
};

/** Settings and callbacks of the client. */
type ClientOptions = {
    /** Local address from which connections are opened. */
    readonly localIp: string;
    readonly dialect: Dialect;
    /** Called with the headers of each response that the upstream itself has sent to its request, whatever its status. */
    readonly onResponse: (
        headers: HttpHeaders,
        exchange: { readonly sentAt: number; readonly isHealth: boolean; },
    ) => void;
    readonly clock: Clock;
    /** Called after an unresponsive connection was closed. */
    readonly onUnresponsive: (address: Address) => void;
};

/** Sends requests to one upstream. The error of a failed request states what is proven about it. */
export class UpstreamClient {
    /** The most recently used connection is reused first, so that those not needed time out. */
    readonly #idle: UpstreamConnection[] = [];
    readonly #connections = new Set<UpstreamConnection>();
    #isClosed = false;
    /** Send time of the newest request to which the upstream has responded. */
    #lastRespondedSentAt = -Infinity;

    constructor(readonly upstream: Upstream, private readonly options: ClientOptions) {}

    /**
     * Sends a request; throws an UpstreamError if it fails, or if the response belongs to another request. Such a
     * response proves and reports nothing, whatever its status.
     */
    async send(call: GateCall, headers: HttpHeaders, options: SendOptions): Promise<UpstreamResponse> {
        const { clock, dialect, onResponse } = this.options;
        const id = String(headers[dialect.requestId]);
        const connection = this.#acquire(id);
        const sentAt = clock();
        const response = await this.#request(connection, call, headers, { ...options, id });
        if (!dialect.isOwnResponse(response.status, response.headers, id)) {
            this.#discard(connection);
            response.body.destroy();
            throw new UpstreamError("foreign-answer");
        }
        this.#lastRespondedSentAt = Math.max(this.#lastRespondedSentAt, sentAt);
        const reason = dialect.notRunReason(response.status, response.headers);
        if (reason !== "misdirected") {
            onResponse(response.headers, { sentAt, isHealth: false });
        }
        if (reason !== undefined) {
            drainResponse(response.body);
            throw new UpstreamError(reason);
        }
        return response;
    }

    /**
     * Sends a request to the upstream's health endpoint; throws the connection's error, or an UpstreamError if the
     * response is not the upstream's response to a probe.
     */
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
            }, {
                checkWrite: () =>
                    clock() - sentAt < timeoutMs
                        ? undefined
                        : new Error(`the probe was not sent: its timeout of ${timeoutMs} ms has passed`),
            });
            await discardBody(body);
            if (!dialect.isHealthResponse(headers, this.upstream.name)) {
                this.#discard(connection);
                throw new UpstreamError("foreign-answer");
            }
            onResponse(headers, { sentAt, isHealth: true });
            return { status: statusCode, headers };
        }
        finally {
            this.#release(connection);
        }
    }

    /** Destroys idle connections, because they may be unresponsive. */
    destroyIdle(): void {
        this.#idle.splice(0).forEach(connection => this.#discard(connection));
    }

    /**
     * Records that a request had no response within its time limit. If the upstream has responded to a request that was
     * sent later, the connection was unresponsive. The idle connections are older than that response, and are destroyed
     * too.
     */
    recordUnanswered(sentAt: number): void {
        if (this.#lastRespondedSentAt > sentAt) {
            this.destroyIdle();
            this.options.onUnresponsive(this.upstream.address);
        }
    }

    async close(): Promise<void> {
        this.#isClosed = true;
        await Promise.all([...this.#connections].map(connection => connection.close()));
    }

    /**
     * Returns a connection that has not carried a request with this id: a surplus response to that one, which may still
     * arrive, would be taken for the response to this one. Replaces an idle connection if all of them have.
     */
    #acquire(id?: string): UpstreamConnection {
        const index = this.#idle.findLastIndex(idle => id === undefined || !idle.hasCarried(id));
        if (index !== -1) {
            return this.#idle.splice(index, 1)[0]!;
        }
        const replaced = this.#idle.shift();
        if (replaced !== undefined) {
            this.#discard(replaced);
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

    /**
     * Destroys a connection. After a surplus response, each later request on it could get the response of the one
     * before.
     */
    #discard(connection: UpstreamConnection): void {
        this.#connections.delete(connection);
        connection.destroy();
    }

    async #request(
        connection: UpstreamConnection,
        call: GateCall,
        headers: HttpHeaders,
        { cancel, onConnected, checkWrite, deadline, id }: SendOptions & { readonly id: string; },
    ): Promise<UpstreamResponse> {
        const recordWrite = (): UpstreamError | undefined => {
            const err = checkWrite();
            if (err === undefined) {
                connection.recordCarried(id, deadline, this.options.clock());
            }
            return err;
        };
        try {
            const response = await connection.request({
                method: call.method as "GET",
                path: call.path,
                headers,
                body: call.body,
                signal: cancel,
            }, { onConnected, checkWrite: recordWrite });
            const body = ignoreBodyErrors(response.body);
            body.once("close", () => this.#release(connection));
            return { status: response.statusCode, headers: response.headers, body };
        }
        catch (err) {
            this.#release(connection);
            if (err instanceof UpstreamError) {
                throw err;
            }
            throw new UpstreamError(isConnectError(err) ? "unreachable" : "upstream-broke", { cause: err });
        }
    }
}
