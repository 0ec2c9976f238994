/** Forwards requests, as the baseline for the cost of a load balancer's control: `forwarder IP:PORT TARGET`. */
import { createServer } from "node:http";
import { pipeline } from "node:stream";
import { Pool } from "undici";
import { listenOn } from "./listenon.js";

const [address, target] = process.argv.slice(2);
const pool = new Pool(`http://${target}`, { connections: 200, pipelining: 1 });

const server = createServer((req, res) => {
    const { connection: _connection, ...headers } = req.headers;
    const hasBody = req.headers["content-length"] !== undefined;
    pool.request({ method: req.method as "GET", path: req.url!, headers, body: hasBody ? req : undefined }).then(
        response => {
            res.writeHead(response.statusCode, response.headers);
            pipeline(response.body, res, () => {});
        },
        () => res.destroy(),
    );
});
listenOn(server, address!);
