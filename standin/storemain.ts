/** Runs the store stand-in: `storemain IP:PORT`. */
import { listenOn } from "./listenon.js";
import { StoreStandin } from "./storestandin.js";

listenOn(new StoreStandin().server, process.argv[2]!);
