/** Writes what goes with a request from ingress to gate. */
import type { CallHead } from "./callhead.js";
import { headFields } from "./headfields.js";
import { tenths } from "./tenths.js";
import { writeList } from "./writelist.js";

const ofDefault = (value: unknown, usual: unknown): unknown => value === usual ? undefined : value;

/** What is as usual is left out. */
export function writeHead(head: CallHead): string {
    const written: CallHead | object = {
        ...head,
        remainingMs: tenths(head.remainingMs),
        gateTime: head.gateTime === undefined ? undefined : tenths(head.gateTime),
        depth: ofDefault(head.depth, 0),
        tenant: ofDefault(head.tenant, "none"),
        answer: ofDefault(head.answer, "whole"),
    };
    return writeList(headFields.map(name => (written as CallHead)[name]));
}
