/** What a client of the store tells of its calls. */
export type StoreEvents = {
    /** The bytes of a call that was answered. */
    readonly counted: (bytes: number) => void;
    /** A call got no answer in time, and the first one on a new connection did. */
    readonly onSilent: () => void;
};
