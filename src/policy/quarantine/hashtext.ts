/** A short hash of a text, for comparing what two daemons know: 32 bits, FNV-1a. */

/** The offset basis of FNV-1a with 32 bits, by its authors. */
const START = 0x811c9dc5;
/** Its prime, by the same. */
const PRIME = 0x01000193;

/** An integer of 32 bits. */
export function hashText(text: string): number {
    let hash = START;
    for (let at = 0; at < text.length; at++) {
        hash = Math.imul(hash ^ text.charCodeAt(at), PRIME);
    }
    return hash;
}
