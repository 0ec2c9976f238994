/** Runs the upstream stand-in: `upstreammain IP:PORT SLOTS SEED`. On SIGTERM it leaves, and exits when it is idle. */
import { listenOn } from "./listenon.js";
import { seededRandom } from "./seededrandom.js";
import { UpstreamStandin } from "./upstreamstandin.js";

const EXIT_CHECK_EVERY_MS = 2500;

const [address, slots, seed] = process.argv.slice(2);
const standin = new UpstreamStandin(Number(slots), seededRandom(Number(seed)));
listenOn(standin.server, address!);

process.on("SIGTERM", () => {
    standin.startLeaving();
    setInterval(() => {
        if (standin.inFlight === 0) {
            process.exit(0);
        }
    }, EXIT_CHECK_EVERY_MS);
});
