/** Base class of the stand-ins that serve requests: an HTTP listener, and `POST /control` for tests. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { readJson } from "./readjson.js";
import { sendJson } from "./sendjson.js";

/** Holds the control settings. Fields that a control call leaves out keep their values. */
export abstract class StandinServer<Control extends object> {
    readonly server: Server = createServer((req, res) => void this.#handle(req, res));

    constructor(protected control: Control) {}

    /** Serves a request to any path other than `/control`. */
    protected abstract serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void>;

    /** Acts on the changed settings, which are already in `control`; resolves with the body of the response. */
    protected async applyControl(_changes: Partial<Control>): Promise<object> {
        return this.control;
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = new URL(`http://standin${req.url ?? "/"}`);
        if (url.pathname !== "/control") {
            return await this.serve(req, res, url);
        }
        const changes = await readJson<Partial<Control>>(req);
        this.control = { ...this.control, ...changes };
        sendJson(res, 200, await this.applyControl(changes));
    }
}
