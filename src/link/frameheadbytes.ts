/** The size in bytes of a frame's header: one byte for the type, four for the payload's length. */
export const frameHeadBytes = 5;
