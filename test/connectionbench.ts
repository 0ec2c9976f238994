/** Helpers of the tests of a caller's connection: requests, responses, and what the caller has received. */
import { withConnection } from "./withconnection.js";

const MAX_ACCEPTED = 3;

type Body = Parameters<typeof withConnection>[1];
type Accepted = Parameters<Body>[0]["accepted"][number];

/** The names of requests are single letters, which are also the bodies of their responses. */
export const connectionBench = {
    maxAccepted: MAX_ACCEPTED,

    /** Runs a test with a connection on which at most `maxAccepted` requests are accepted and not answered. */
    run: (body: Body): Promise<void> => withConnection(MAX_ACCEPTED, body),

    get: (path: string, fields = ""): string => `GET /${path} HTTP/1.1\r\nhost: h\r\n${fields}\r\n`,

    answer: ({ path, res, turn }: Accepted): void => {
        res.setHeader("content-length", path.length);
        turn.whenFirst(() => res.end(path));
    },

    pathsOf: (accepted: readonly Accepted[]): string => accepted.map(({ path }) => path).join(""),

    /** Returns the bodies of the responses, which are the paths of their requests. */
    bodiesOf: (text: string): string => [...text.matchAll(/\r\n\r\n(\w?)/g)].map(([, body]) => body).join(""),

    /** Returns the first letter of each response's connection field: `k` for keep-alive, `c` for close. */
    closingOf: (text: string): string => [...text.matchAll(/onnection: (\w)/g)].map(([, value]) => value).join(""),
};
