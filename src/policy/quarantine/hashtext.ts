/** Computes a 32-bit FNV-1a hash of a text, by which two daemons compare their crash records. */

/** The offset basis that FNV-1a defines for 32 bits. */
const OFFSET_BASIS = 0x811c9dc5;
/** The prime that FNV-1a defines for 32 bits. */
const PRIME = 0x01000193;

/** Returns the hash as a 32-bit integer. */
export function hashText(text: string): number {
    let hash = OFFSET_BASIS;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
    }
    return hash;
}
