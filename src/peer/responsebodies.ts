/** Encodes the bodies of responses to peers, and compresses the large ones. */
import { promisify } from "node:util";
import { gzip } from "node:zlib";

const gzipAsync = promisify(gzip);

/** Shorter bodies fit into a few packets. */
const MIN_COMPRESSED_CHARS = 4096;
/** Items of a document are alike, so a higher level saves few bytes. */
const GZIP_LEVEL = 3;

type ResponseBody = { readonly body: string | Buffer; readonly encoding?: "gzip"; };

/**
 * Keeps the body of each result as long as the result itself exists. Many peers request the same change of the
 * configuration, which is encoded and compressed once for all of them.
 */
export class ResponseBodies {
    readonly #bodies = new WeakMap<object, Promise<ResponseBody>>();

    /** Resolves with the body of a response with the result `data`. */
    encode(data: unknown, acceptsGzip: boolean): Promise<ResponseBody> {
        if (typeof data !== "object" || data === null || !acceptsGzip) {
            return Promise.resolve({ body: toText(data) });
        }
        const known = this.#bodies.get(data);
        if (known !== undefined) {
            return known;
        }
        const body = compress(toText(data));
        this.#bodies.set(data, body);
        return body;
    }
}

const toText = (data: unknown): string => JSON.stringify({ result: { data } });

const compress = async (text: string): Promise<ResponseBody> =>
    text.length < MIN_COMPRESSED_CHARS
        ? { body: text }
        : { body: await gzipAsync(text, { level: GZIP_LEVEL }), encoding: "gzip" };
