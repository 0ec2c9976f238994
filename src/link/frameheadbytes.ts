/** The size of what precedes a frame's payload: a byte for the type, four for the payload's length. */
export const frameHeadBytes = 5;
