/** What a client of the platform was told. */

/** Status 0: no whole answer came. */
export type PlatformTold = {
    readonly status: number;
    readonly text: string;
    readonly headers: Readonly<Record<string, string | undefined>>;
};
