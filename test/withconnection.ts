/** A server with a bound on the requests of a connection, and one caller with a raw socket, for tests. */
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import type { CallerConnection } from "../src/ingress/callerconnection.js";
import { CallerConnections } from "../src/ingress/callerconnections.js";
import type { ConnectionDependencies } from "../src/ingress/connectiondependencies.js";
import { ResponseTurn } from "../src/ingress/responseturn.js";
import { connectionDefaults } from "./connectiondefaults.js";

/** A request that the server has accepted, in the order of acceptance. */
type Accepted = {
    readonly path: string;
    readonly res: ServerResponse;
    readonly connection: CallerConnection;
    readonly turn: ResponseTurn;
    readonly bodyBytes: () => number;
    isClosed: boolean;
};

type Bench = {
    readonly connections: CallerConnections;
    readonly accepted: Accepted[];
    readonly socket: Socket;
    /** Everything that the caller has received. */
    readonly received: () => string;
    readonly isEnded: () => boolean;
};

/** Runs the body with a server that leaves accepted requests to the test, and one caller. */
export async function withConnection(
    maxAccepted: number,
    body: (bench: Bench) => Promise<void>,
    overrides: Partial<ConnectionDependencies> = {},
): Promise<void> {
    const accepted: Accepted[] = [];
    const server = createServer({ requireHostHeader: false });
    const connections = new CallerConnections(server, {
        ...connectionDefaults(maxAccepted),
        ...overrides,
        serve: ({ req, res }, connection) => {
            let size = 0;
            req.on("data", (chunk: Buffer) => size += chunk.length);
            const turn = new ResponseTurn(res, connection);
            const request = {
                path: req.url!.slice(1),
                res,
                connection,
                turn,
                bodyBytes: () => size,
                isClosed: false,
            };
            res.on("close", () => request.isClosed = true);
            accepted.push(request);
        },
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true, noDelay: true });
    let text = "";
    let isEnded = false;
    socket.on("data", chunk => text += chunk).on("end", () => isEnded = true).on("error", () => {});
    try {
        await once(socket, "connect");
        await body({ connections, accepted, socket, received: () => text, isEnded: () => isEnded });
    }
    finally {
        socket.destroy();
        server.close();
        server.closeAllConnections();
    }
}
