/** The longest time for which an upstream can be configured to count as cold after its start, an hour. */
export const maxColdStartMs = 3_600_000;
