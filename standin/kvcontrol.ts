/** What a test can do to the stand-in of the platform's store. */

/** `refuse`: a status that every call gets, or `silent`; `from`: only callers with this IP are struck. */
export type KvControl = {
    refuse: 0 | 429 | 503;
    silent: boolean;
    from: string;
    /** So many of the next writes are done and not answered. */
    loseAnswers: number;
    delayMs: number;
    /** Forgets what is older than the present. */
    forget: boolean;
    /** Ends all leases. */
    revoke: boolean;
};
