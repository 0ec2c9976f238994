/**
 * Answers trpc's calls on Node's own listener.
 *
 * trpc's own handler makes a `Request` of each call, and so has Node.js load its fetch; see calllink.ts for what that costs. A result
 * is written as trpc's own handler writes it; an error has its message and code, which is all that is read of one.
 */
import { callTRPCProcedure, getTRPCErrorFromUnknown, TRPCError } from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { httpStatus } from "../http/httpstatus.js";
import { peerRouter } from "./peerrouter.js";
import type { PeerService } from "./peerservice.js";

/** Of a call's body: many times the largest. */
const MAX_BODY_BYTES = 64 * 1024;
const PATH_PATTERN = /^\/trpc\/([a-z]+)$/;

/** Never rejects: what fails is an answer too. */
export async function handleCall(req: IncomingMessage, res: ServerResponse, service: PeerService): Promise<void> {
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
        send(res, httpStatus.ok, { result: { data } });
    }
    catch (err) {
        const error = getTRPCErrorFromUnknown(err);
        send(res, getHTTPStatusCodeFromError(error), { error: { message: error.message, data: { code: error.code } } });
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

const send = (res: ServerResponse, status: number, body: object): void => {
    res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
};
