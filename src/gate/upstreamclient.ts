/** The one client of an upstream: HTTP/1.1 with no retries and no pipelining. */
import type { Readable } from "node:stream";
import { Pool } from "undici";
import type { Upstream } from "../config/upstream.js";
import type { Cancel } from "../hop/cancel.js";
import { isConnectError } from "../hop/connecterror.js";
import type { GateCall } from "../hop/gatecall.js";
import { guardBody } from "../hop/guardbody.js";
import { headerName } from "../hop/headername.js";
import type { HttpHeaders } from "../hop/httpheaders.js";
import { UpstreamError } from "./upstreamerror.js";

/** Shorter than servers usually keep an idle connection, so that they seldom close one that is just taken. */
const KEEP_ALIVE_MS = 2000;
const CONNECT_TIMEOUT_MS = 1000;
const SHED_STATUS = 503;

/** The upstream's answer as it comes. */
type UpstreamAnswer = { readonly status: number; readonly headers: HttpHeaders; readonly body: Readable; };

const shedReason = (answer: UpstreamAnswer): string | undefined => {
    if (answer.status !== SHED_STATUS || answer.headers[headerName.outcome] !== "not-run") {
        return undefined;
    }
    return answer.headers[headerName.leaving] === undefined ? "shed" : "leaving";
};

/** Sends requests and tells what is proven when one fails. */
export class UpstreamClient {
    #pool: Pool;

    constructor(readonly upstream: Upstream, private readonly localIp: string) {
        this.#pool = this.#open();
    }

    /** Sends a request; throws an UpstreamError. An answer that echoes another request's id is an error. */
    async send(call: GateCall, headers: HttpHeaders, cancel: Cancel | undefined): Promise<UpstreamAnswer> {
        const answer = await this.#request(call, headers, cancel);
        const reason = shedReason(answer);
        if (reason !== undefined) {
            answer.body.resume();
            throw new UpstreamError(false, reason);
        }
        const echo = answer.headers[headerName.requestId];
        if (echo !== undefined && echo !== call.head.id) {
            answer.body.destroy();
            this.#renew();
            throw new UpstreamError(true, "foreign-answer");
        }
        return answer;
    }

    close(): Promise<void> {
        return this.#pool.close();
    }

    #open(): Pool {
        return new Pool(`http://${this.upstream.address}`, {
            connections: this.upstream.connections,
            pipelining: 1,
            keepAliveTimeout: KEEP_ALIVE_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
            localAddress: this.localIp,
            connect: { timeout: CONNECT_TIMEOUT_MS },
        });
    }

    /** An answer too many on a connection would shift all that follow on it: no connection is used again. */
    #renew(): void {
        void this.#pool.close();
        this.#pool = this.#open();
    }

    async #request(call: GateCall, headers: HttpHeaders, cancel: Cancel | undefined): Promise<UpstreamAnswer> {
        try {
            const { statusCode, headers: got, body } = await this.#pool.request({
                method: call.method as "GET",
                path: call.path,
                headers,
                body: call.body,
                signal: cancel,
            });
            return { status: statusCode, headers: got, body: guardBody(body) };
        }
        catch (err) {
            const unsent = isConnectError(err);
            throw new UpstreamError(!unsent, unsent ? "unreachable" : "upstream-broke", { cause: err });
        }
    }
}
