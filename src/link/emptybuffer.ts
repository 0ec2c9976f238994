/** An empty buffer, shared by frames without a payload and by readers without unread bytes. */
export const emptyBuffer = Buffer.alloc(0);
