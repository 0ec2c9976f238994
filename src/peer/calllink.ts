/**
 * Carries trpc's calls over this daemon's own client of HTTP.
 *
 * trpc's own link looks at the global `FormData`, which makes Node.js load its fetch: 37 ms of processor time at the first call, 75 with
 * the flags that daemons run with, in the first second of a start (the access alone, timed in a bare process). The bytes on the wire are
 * those of trpc's own link.
 */
import { TRPCClientError, type TRPCLink } from "@trpc/client";
import { observable } from "@trpc/server/observable";
import { z } from "zod";
import type { peerRouter } from "./peerrouter.js";

/** A call as it goes out. */
type Call = { readonly method: "GET" | "POST"; readonly path: string; readonly body?: string; };

const ResponseBody = z.union([
    z.object({ result: z.object({ data: z.unknown().optional() }) }),
    z.object({ error: z.object({ message: z.string() }) }),
]);

/** `send` resolves with the answer's body, whatever its status. */
export function callLink(
    send: (call: Call, signal: AbortSignal | undefined) => Promise<unknown>,
): TRPCLink<typeof peerRouter> {
    return () => ({ op }) =>
        observable(observer => {
            const fail = (err: unknown): void => observer.error(TRPCClientError.from(err as Error));
            send(toCall(op), op.signal ?? undefined).then(body => {
                const response = ResponseBody.parse(body);
                if ("error" in response) {
                    throw new TRPCClientError(response.error.message);
                }
                observer.next({ result: { type: "data", data: response.result.data } });
                observer.complete();
            }).catch(fail);
        });
}

const toCall = ({ type, path, input }: { type: string; path: string; input: unknown; }): Call => {
    const text = input === undefined ? undefined : JSON.stringify(input);
    if (type === "mutation") {
        return { method: "POST", path: `/trpc/${path}`, body: text };
    }
    const query = text === undefined ? "" : `?input=${encodeURIComponent(text)}`;
    return { method: "GET", path: `/trpc/${path}${query}` };
};
