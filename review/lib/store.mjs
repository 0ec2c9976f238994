// Stand-in for the platform's store, with the names of deploy/wire.toml: `store.mjs IP:PORT`.
// Items, ranges, watches, conditional writes and leases as PROTOCOL.md describes them. Nothing is slow, lost or refused.
import { createServer } from "node:http";

const [ip, port] = process.argv[2].split(":");
const WATCH_STEP_MS = 20;
const items = new Map();
const leases = new Map();
const history = [];
let revision = 1;
let lastLease = 0;

const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

const remove = key => {
    if (items.delete(key)) {
        revision += 1;
        history.push({ key, storeRevision: revision, gone: true });
    }
};

const put = ({ key, value, lease = 0 }) => {
    revision += 1;
    const item = { key, value, storeRevision: revision, made: items.get(key)?.made ?? revision, lease };
    items.set(key, item);
    history.push(item);
};

const endLease = id => {
    leases.delete(id);
    [...items.values()].filter(item => item.lease === id).forEach(({ key }) => remove(key));
};

setInterval(() => {
    const now = performance.now();
    [...leases].filter(([, { endsAt }]) => endsAt <= now).forEach(([id]) => endLease(id));
}, 50);

const readBody = async req => {
    let text = "";
    for await (const chunk of req) {
        text += chunk;
    }
    return text === "" ? {} : JSON.parse(text);
};

const send = (res, status, body) => {
    res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
};

const watch = async (url, res) => {
    const prefix = url.searchParams.get("pathPrefix");
    const after = Number(url.searchParams.get("after"));
    const endsAt = performance.now() + Number(url.searchParams.get("waitMs"));
    for (;;) {
        const events = history.filter(({ key, storeRevision }) => storeRevision > after && key.startsWith(prefix));
        if (events.length > 0 || performance.now() >= endsAt || res.destroyed) {
            return send(res, 200, { events, at: revision });
        }
        await wait(WATCH_STEP_MS);
    }
};

const commit = ({ expect = [], put: puts = [], remove: removes = [] }, res) => {
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
        return send(res, 404, {});
    }
    if (expect.some(({ key, storeRevision }) => (items.get(key)?.storeRevision ?? 0) !== storeRevision)) {
        return send(res, 412, { items: expect.flatMap(({ key }) => items.get(key) ?? []) });
    }
    puts.forEach(put);
    removes.forEach(remove);
    return send(res, 200, { storeRevision: revision });
};

createServer(async (req, res) => {
    const url = new URL(`http://store${req.url}`);
    const [, , call, id] = url.pathname.split("/");
    if (call === "kv-key") {
        const item = items.get(url.searchParams.get("key"));
        return item === undefined ? send(res, 404, {}) : send(res, 200, { ...item, at: revision });
    }
    if (call === "kv-range") {
        const prefix = url.searchParams.get("pathPrefix");
        const found = [...items.values()].filter(({ key }) => key.startsWith(prefix));
        return send(res, 200, { items: found, more: false, at: revision });
    }
    if (call === "kv-watch") {
        return await watch(url, res);
    }
    if (call === "kv-txn") {
        return commit(await readBody(req), res);
    }
    if (call === "kv-lease") {
        const { ttl_ms: ttlMs } = await readBody(req);
        lastLease += 1;
        leases.set(lastLease, { ttlMs, endsAt: performance.now() + ttlMs });
        return send(res, 200, { lease: lastLease, ttl_ms: ttlMs });
    }
    const lease = leases.get(Number(id));
    if (lease === undefined) {
        return send(res, 404, {});
    }
    if (call === "kv-keep") {
        lease.endsAt = performance.now() + lease.ttlMs;
    }
    else {
        endLease(Number(id));
    }
    return send(res, 200, {});
}).listen(Number(port), ip, () => console.log("ready"));
