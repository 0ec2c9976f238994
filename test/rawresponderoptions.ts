/** Defines what a raw responder sends. */

export type RawResponderOptions = {
    /** The status line and the header fields with their blank line; `{id}` stands for the request's id. */
    readonly head: string;
    readonly body: string;
    /** How the connection is closed after the body. */
    readonly ending: "end" | "reset";
    /** Whether the rest of the request is read while the response is sent; true by default. */
    readonly readsUpload?: boolean;
};
