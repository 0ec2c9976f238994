// Stand-in for an instance, as PROTOCOL.md describes one: `instance.mjs OPTIONS`, where OPTIONS is JSON.
//
// It announces itself to the daemon beside it, works on `slots` requests at once, queues a few more, and refuses the rest
// with 503 and `Not-Executed`. It drops a request whose connection closes only if `drops` is set. Each line on standard
// output is a JSON record of what it did: `run` (work on a request began), `end` (its own answer was sent), `refuse` and
// `copy` (see below). A line `{"shed":S,"copies":C}` on standard input sets its disruptions:
// - shed: the share of requests that it refuses with 503 and `Not-Executed` though it could run them (srv_grey, shed);
// - copies: the share of its answers of which it sends a second copy, late: in the slot where the next answer on that
//   connection is due (garble, extra late). The copy is exactly the answer before, with the id of that request;
// - unframed: the share of its successes that have no length and end with their connection (garble, unframed);
// - cut: the share of its successes that are lost on the way: the connection is reset behind their first half
//   (answer_lost, reset).
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import { createInterface } from "node:readline";

const options = JSON.parse(process.argv[2]);
const { id, service, ip, port, hall, slots, queue, workMs, announce, beatMs, bodyBytes = 0 } = options;
let disruption = { shed: 0, copies: 0, workX: 1 };
let running = 0;
let sequence = 0;
const waiting = [];
const copies = new Map();

const record = fields => console.log(JSON.stringify({ t: Math.round(performance.timeOrigin + performance.now()), instance: id, ...fields }));
const hasLuck = share => Math.random() < share;

const answer = (socket, { status, attempt, headers = {}, body = "", isUnframed = false, isCut = false }) => {
    const reason = { 200: "OK", 421: "Misdirected Request", 503: "Service Unavailable" }[status];
    const fields = {
        ...attempt === undefined ? {} : { "Attempt-Id": attempt },
        "Server-Load": `${running},${waiting.length},${slots},100`,
        "Content-Type": "application/octet-stream",
        ...isUnframed ? { Connection: "close" } : { "Content-Length": Buffer.byteLength(body) },
        ...headers,
    };
    const head = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const bytes = `HTTP/1.1 ${status} ${reason}\r\n${head}\r\n${body}`;
    if (isCut) {
        socket.write(bytes.slice(0, bytes.length - Math.ceil(body.length / 2)));
        setImmediate(() => socket.resetAndDestroy());
        return;
    }
    if (!socket.destroyed) {
        socket.write(bytes);
    }
    if (isUnframed) {
        socket.end();
        return;
    }
    if (attempt !== undefined && hasLuck(disruption.copies)) {
        copies.set(socket, { bytes, attempt, status });
        socket.once("close", () => copies.delete(socket));
    }
};

const refuse = (socket, attempt) => {
    record({ event: "refuse", attempt });
    answer(socket, { status: 503, attempt, headers: { "Not-Executed": "1" } });
};

const run = ({ socket, attempt, path }) => {
    running += 1;
    record({ event: "run", attempt, path });
    setTimeout(() => {
        running -= 1;
        const body = `${id} ran ${attempt} ${path}`.padEnd(bodyBytes, ".");
        const signature = createHash("sha256").update(body).digest("hex").slice(0, 16);
        const [isUnframed, isCut] = [hasLuck(disruption.unframed ?? 0), hasLuck(disruption.cut ?? 0)];
        record({ event: "end", attempt, open: !socket.destroyed, ...isUnframed && { isUnframed }, ...isCut && { isCut } });
        answer(socket, { status: 200, attempt, headers: { "Server-Signature": `${id}.${signature}` }, body, isUnframed, isCut });
        if (waiting.length > 0) {
            run(waiting.shift());
        }
    }, workMs * (0.7 + 0.6 * Math.random()) * (disruption.workX ?? 1));
};

const serve = (req, socket) => {
    const { "attempt-id": attempt, "expected-instance": expected } = req.headers;
    const copy = copies.get(socket);
    if (copy !== undefined && attempt !== undefined) {
        copies.delete(socket);
        record({ event: "copy", of: copy.attempt, status: copy.status, before: attempt });
        socket.write(copy.bytes);
    }
    if (expected !== undefined && expected !== id) {
        return answer(socket, { status: 421, attempt });
    }
    if (req.url === "/health") {
        return answer(socket, { status: 200, headers: { "Instance-Id": id } });
    }
    if (hasLuck(disruption.shed) || waiting.length >= queue) {
        return refuse(socket, attempt);
    }
    const request = { socket, attempt, path: req.url };
    return running < slots ? run(request) : waiting.push(request);
};

// The responses are written to the socket itself, so that a copy can be sent; Node's response object is not used.
const server = createServer((req, res) => {
    const { socket } = req;
    res.on("error", () => {});
    req.resume().on("end", () => serve(req, socket));
});
server.on("connection", socket => socket.on("error", () => {}));
server.keepAliveTimeout = 0;
server.requestTimeout = 0;
server.headersTimeout = 0;

const beat = async () => {
    const body = { service, address: `${ip}:${port}`, hall, slots, state: "ready", coldMs: 0, sequence: sequence++ };
    try {
        await fetch(`http://${announce}/v1/upstreams/${id}`, { method: "POST", body: JSON.stringify(body) });
    }
    catch {
        // The next beat follows.
    }
};

createInterface({ input: process.stdin }).on("line", line => disruption = { ...disruption, ...JSON.parse(line) });
server.listen(port, ip, () => {
    setInterval(() => void beat(), beatMs);
    void beat();
    console.log("ready");
});
