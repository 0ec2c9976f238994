/** The payload of a frame that carries nothing, and the rest of bytes that are all read. */
export const emptyBuffer = Buffer.alloc(0);
