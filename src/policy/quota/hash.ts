/** Computes a 32-bit hash of a text (FNV-1a with the final mixing of MurmurHash3); the same at all daemons. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;

/** Returns an integer from 0 to 2^32 - 1. */
export function hash(text: string): number {
    let value = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
    }
    value = Math.imul(value ^ (value >>> 16), MIX_1);
    value = Math.imul(value ^ (value >>> 13), MIX_2);
    return (value ^ (value >>> 16)) >>> 0;
}
