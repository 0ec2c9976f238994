/**
 * Handles tRPC calls on Node's HTTP server.
 *
 * tRPC's own handler creates a `Request` for each call, which makes Node.js load its fetch implementation; calllink.ts
 * states the cost. Results are written as tRPC's handler writes them. Errors have only a message and a code, since
 * clients read nothing else of them.
 */
import { callTRPCProcedure, getTRPCErrorFromUnknown, TRPCError } from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { httpStatus } from "../http/httpstatus.js";
import { peerRouter } from "./peerrouter.js";
import type { PeerService } from "./peerservice.js";
import type { ResponseBodies } from "./responsebodies.js";

/** Many times the size of the largest call. */
const MAX_BODY_BYTES = 64 * 1024;
const CONTENT_TYPE = { "content-type": "application/json" };
const PATH_PATTERN = /^\/trpc\/([a-z]+)$/;

/** Handles a call; never rejects, since failures are sent as responses. */
export async function handleCall(
    req: IncomingMessage,
    res: ServerResponse,
    service: PeerService,
    bodies: ResponseBodies,
): Promise<void> {
    try {
        const url = new URL(`http://peer${req.url ?? "/"}`);
        const data = await callTRPCProcedure({
            router: peerRouter,
            path: PATH_PATTERN.exec(url.pathname)?.[1] ?? "",
            type: req.method === "POST" ? "mutation" : "query",
            getRawInput: () => readInput(req, url),
            ctx: { service },
            signal: undefined,
            batchIndex: 0,
        });
        const { body, encoding } = await bodies.encode(data, req.headers["accept-encoding"] === "gzip");
        const headers = encoding === undefined ? CONTENT_TYPE : { ...CONTENT_TYPE, "content-encoding": encoding };
        res.writeHead(httpStatus.ok, headers).end(body);
    }
    catch (err) {
        const error = getTRPCErrorFromUnknown(err);
        const body = { error: { message: error.message, data: { code: error.code } } };
        res.writeHead(getHTTPStatusCodeFromError(error), CONTENT_TYPE).end(JSON.stringify(body));
    }
}

const readInput = async (req: IncomingMessage, url: URL): Promise<unknown> => {
    const text = req.method === "POST" ? await readText(req) : url.searchParams.get("input") ?? "";
    try {
        return text === "" ? undefined : JSON.parse(text);
    }
    catch (err) {
        throw new TRPCError({ code: "PARSE_ERROR", message: "the input is no JSON", cause: err });
    }
};

const readText = async (req: IncomingMessage): Promise<string> => {
    let text = "";
    for await (const chunk of req.setEncoding("utf8")) {
        text += chunk as string;
        if (text.length > MAX_BODY_BYTES) {
            throw new TRPCError({ code: "PAYLOAD_TOO_LARGE", message: `at most ${MAX_BODY_BYTES} bytes` });
        }
    }
    return text;
};
