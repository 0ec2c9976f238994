/** What may have been unread for longer is acted on only after what lies behind it has been read, in milliseconds. */
export const maxFreshMs = 100;
