/** Runs the store stand-in: `storemain IP:PORT`. */
import { listenOn } from "./listenon.js";
import { StoreStandin } from "./store.js";

listenOn(new StoreStandin().server, process.argv[2]!);
