/** The response that a client on the platform received. */

/** Status 0 means that no complete response arrived. */
export type PlatformResponse = {
    readonly status: number;
    readonly text: string;
    readonly headers: Readonly<Record<string, string | undefined>>;
};
