/** What all stand-ins that speak HTTP have in common: a listener, and `POST /control` by which a test drives them. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { readJson } from "./readjson.js";
import { sendJson } from "./sendjson.js";

/** `Control` is what a test may set; fields that a call leaves out stay as they are. */
export abstract class StandinServer<Control extends object> {
    readonly server: Server = createServer((req, res) => void this.#handle(req, res));

    constructor(protected control: Control) {}

    /** Serves whatever is not for `/control`. */
    protected abstract serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void>;

    /** Acts on a new control; what it resolves with is the answer. */
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
