/** The way to the gate of another host: HTTP/1.1, one request a connection at a time, no retries. */
import { Pool } from "undici";
import type { Address } from "../ids/address.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { PeerOptions } from "../peer/peeroptions.js";
import type { CallHead } from "./callhead.js";
import { cleanHeaders } from "./cleanheaders.js";
import { isConnectError } from "./connecterror.js";
import type { GateAnswer } from "./gateanswer.js";
import type { GateCall } from "./gatecall.js";
import { GateClock } from "./gateclock.js";
import { guardBody } from "./guardbody.js";
import { headerName } from "./headername.js";
import { Hop } from "./hop.js";
import { HopError } from "./hoperror.js";
import { readNote } from "./readnote.js";
import { writeHead } from "./writehead.js";

const MAX_CONNECTIONS = 256;
const KEEP_ALIVE_MS = 4000;
const CONNECT_TIMEOUT_MS = 500;

/** Owns the connections to one gate. */
export class RemoteHop extends Hop {
    readonly clock = new GateClock();
    readonly #pool: Pool;

    constructor(
        readonly address: Address,
        private readonly peer: PeerClient,
        private readonly options: PeerOptions,
    ) {
        super();
        this.#pool = new Pool(`http://${address}`, {
            connections: MAX_CONNECTIONS,
            pipelining: 1,
            keepAliveTimeout: KEEP_ALIVE_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
            localAddress: options.localIp,
            connect: { timeout: CONNECT_TIMEOUT_MS },
        });
    }

    async send(call: GateCall): Promise<GateAnswer> {
        if (call.head.kind === "once" && this.clock.incarnation === undefined) {
            await this.greet();
        }
        const head = this.#stamp(call.head);
        const { statusCode, headers, body } = await this.#request(call, head);
        const note = readNote(headers[headerName.note]);
        if (note !== undefined) {
            this.clock.observe(note.incarnation, note.gateTime, this.options.clock());
        }
        if (note === undefined || note.outcome !== undefined) {
            body.resume();
            throw new HopError(note?.outcome ?? "unknown", note?.reason ?? "not-a-gate", note);
        }
        return { status: statusCode, headers: cleanHeaders(headers), body, note };
    }

    async revoke(head: CallHead): Promise<RevokeResult> {
        const { id, remainingMs } = head;
        const { incarnation, gateTime } = head;
        if (incarnation === undefined || gateTime === undefined) {
            return "unknown";
        }
        return this.peer.revoke(this.address, { id, incarnation, gateTime, remainingMs });
    }

    async greet(): Promise<void> {
        try {
            const hello = await this.peer.hello(this.address);
            this.clock.observe(hello.incarnation, hello.gateTime, this.options.clock());
        }
        catch (err) {
            throw new HopError("not-run", "unreachable", undefined, { cause: err });
        }
    }

    close(): Promise<void> {
        return this.#pool.close();
    }

    /** The head as sent: with the gate's life and clock, so that the gate can tell how long it was on its way. */
    #stamp(head: CallHead): CallHead {
        const stamped = head as { incarnation?: CallHead["incarnation"]; gateTime?: number; };
        stamped.incarnation = this.clock.incarnation;
        stamped.gateTime = this.clock.reckon(this.options.clock());
        return head;
    }

    async #request(call: GateCall, head: CallHead): Promise<Awaited<ReturnType<Pool["request"]>>> {
        try {
            const answer = await this.#pool.request({
                method: call.method as "GET",
                path: call.path,
                headers: {
                    ...call.headers,
                    [headerName.call]: writeHead(head),
                    [headerName.key]: this.options.key,
                },
                body: call.body,
                signal: call.cancel,
            });
            guardBody(answer.body);
            return answer;
        }
        catch (err) {
            const unsent = isConnectError(err);
            throw new HopError(unsent ? "not-run" : "broken", unsent ? "unreachable" : "peer-broke", undefined, {
                cause: err,
            });
        }
    }
}
