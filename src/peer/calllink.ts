/**
 * Sends tRPC calls with this daemon's own HTTP client.
 *
 * tRPC's own link accesses the global `FormData`, which makes Node.js load its fetch implementation. That access alone
 * takes 37 ms of processor time at the first call, or 75 ms with the flags that daemons run with, in the first second
 * after a start. The bytes on the wire are those of tRPC's own link.
 */
import { TRPCClientError, type TRPCLink } from "@trpc/client";
import { observable } from "@trpc/server/observable";
import { z } from "zod";
import type { peerRouter } from "./peerrouter.js";
import { Transfer } from "./transfer.js";

/** The HTTP request of a call. */
type Call = { readonly method: "GET" | "POST"; readonly path: string; readonly body?: string; };

const ResponseBody = z.union([
    z.object({ result: z.object({ data: z.unknown().optional() }) }),
    z.object({ error: z.object({ message: z.string() }) }),
]);

/**
 * Creates a link; `send` resolves with the response's parsed body, whatever its status, and updates the transfer, which
 * a caller may pass in the context of the call.
 */
export function callLink(
    send: (call: Call, signal: AbortSignal | undefined, transfer: Transfer) => Promise<unknown>,
): TRPCLink<typeof peerRouter> {
    return () => ({ op }) =>
        observable(observer => {
            const fail = (err: unknown): void => observer.error(TRPCClientError.from(err as Error));
            const { transfer } = op.context;
            const observed = transfer instanceof Transfer ? transfer : new Transfer();
            send(toCall(op), op.signal ?? undefined, observed).then(body => {
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
