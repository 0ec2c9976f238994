/** Keeps the state of every caller's connection of a server, and passes the server's events to it. */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { chooseToClose } from "../policy/connections/choosetoclose.js";
import { CallerConnection } from "./callerconnection.js";
import type { ConnectionDependencies } from "./connectiondependencies.js";
import { ReadShare } from "./readshare.js";

/** Errors of the parser begin so; all others are errors of the socket. */
const PARSER_ERROR_PREFIX = "HPE_";
const REQUEST_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";

/** Owns the connections' states; the server must have no other listener for requests. */
export class CallerConnections {
    readonly #connections = new Map<Socket, CallerConnection>();
    #isStopping = false;

    constructor(server: Server, private readonly deps: ConnectionDependencies) {
        const readShare = new ReadShare(
            () => this.#connections.forEach(connection => connection.turnPause.pause(false)),
            () => this.#connections.forEach(connection => connection.turnPause.resume()),
        );
        const connectionDeps = {
            ...deps,
            isStopping: () => this.#isStopping,
            onParsed: (bytes: number) => readShare.add(bytes),
        };
        // Otherwise Node ends a connection, with its requests, when the caller has shut down its sending side.
        Object.assign(server, { httpAllowHalfOpen: true });
        server.on("connection", (socket: Socket) => {
            deps.accepts.recordAccepted(deps.clock());
            const connection = new CallerConnection(socket, connectionDeps);
            this.#connections.set(socket, connection);
            socket.on("close", () => this.#connections.delete(socket));
            this.#closeExcess(connection);
        });
        server.on("request", (req, res) => this.#connections.get(req.socket)?.offer(req, res));
        server.on("clientError", (err: NodeJS.ErrnoException, socket) => this.#handleError(err, socket as Socket));
        server.on("connect", (_req, socket) => this.#connections.get(socket as Socket)?.fail(undefined));
    }

    /** The number of requests that wait behind others on their connections. */
    get waitingCount(): number {
        let count = 0;
        for (const connection of this.#connections.values()) {
            count += connection.waitingCount;
        }
        return count;
    }

    /** The number of bytes that were written to connections and are still buffered in the process. */
    get unsentBytes(): number {
        let bytes = 0;
        for (const socket of this.#connections.keys()) {
            bytes += socket.writableLength;
        }
        return bytes;
    }

    /** Closes the connections on which a response was sent and nothing has arrived since. */
    closeIdle(): void {
        for (const connection of this.#connections.values()) {
            connection.closeIfIdle();
        }
    }

    /** Accepts no further requests on connections that have accepted ones; the last response closes each connection. */
    startClosing(): void {
        this.#isStopping = true;
        for (const connection of this.#connections.values()) {
            connection.startClosing();
        }
    }

    /** The newest connection has not had the time to send a request; it is closed only if all others are busy. */
    #closeExcess(newest: CallerConnection): void {
        if (this.#connections.size > this.deps.maxOpenConnections) {
            const others = [...this.#connections.values()].filter(connection => connection !== newest);
            (chooseToClose(others) ?? newest).closeForLimit("connection-limit");
        }
    }

    #handleError({ code }: NodeJS.ErrnoException, socket: Socket): void {
        const isOfParser = code?.startsWith(PARSER_ERROR_PREFIX) === true || code === REQUEST_TIMEOUT;
        const connection = this.#connections.get(socket);
        if (isOfParser && connection !== undefined && socket.writable) {
            connection.fail(code);
        }
        else {
            socket.destroy();
        }
    }
}
