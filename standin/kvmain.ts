/** `kvmain IP:PORT`. */
import { KvStandin } from "./kvstore.js";
import { listenOn } from "./listenon.js";

listenOn(new KvStandin().server, process.argv[2]!);
