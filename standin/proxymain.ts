/** Runs the proxy: `proxymain IP:PORT BETWEEN_MS LINKS.json`. `POST /control` replaces the list of faults. */
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { Fault } from "./fault.js";
import type { Link } from "./link.js";
import { listenOn } from "./listenon.js";
import { Proxy } from "./proxy.js";
import { readJson } from "./readjson.js";
import { sendJson } from "./sendjson.js";

const [address, interHallDelayMs, linksFile] = process.argv.slice(2);
const proxy = new Proxy(Number(interHallDelayMs));
for (const link of JSON.parse(readFileSync(linksFile!, "utf8")) as Link[]) {
    await proxy.open(link);
}
listenOn(
    createServer(async (req, res) => {
        proxy.setFaults(await readJson<Fault[]>(req));
        sendJson(res, 200);
    }),
    address!,
);
