/** Runs the instance stand-in: `instancemain ID SERVICE IP:PORT SLOTS DAEMON [CRASH-PATH] [ANNOUNCE-EVERY-MS]`. */
import { InstanceStandin } from "./instancestandin.js";
import { listenOn } from "./listenon.js";

const [id, service, address, slots, daemon, crashPath = "", announceEveryMs = "200"] = process.argv.slice(2) as [
    string,
    string,
    string,
    string,
    string,
    string?,
    string?,
];
listenOn(
    new InstanceStandin({
        id,
        service,
        address,
        slots: Number(slots),
        daemon,
        crashPath,
        announceEveryMs: Number(announceEveryMs),
    }).server,
    address,
);
