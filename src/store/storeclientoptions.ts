/** Defines what a client of a store has to be given. */
import type { Address } from "../ids/address.js";
import type { StoreEvents } from "./storeevents.js";

/** `timeoutMs` limits the time without data of each call; watches may wait longer for the first. */
export type StoreClientOptions = StoreEvents & {
    readonly address: Address;
    readonly localIp: string;
    /** Maximum number of connections for calls and for watches each. */
    readonly connections: number;
    readonly timeoutMs: number;
    /** Path of a read that costs little, whatever its status; sent while watches are pending. */
    readonly checkPath: string;
    /** Time without another call after which this read is sent. */
    readonly checkIntervalMs: number;
    /**
     * The response header with the store's era, which rises with each restore from a backup; undefined if the store
     * does not send one.
     */
    readonly eraHeader?: string;
};
