/** The largest rate that can be configured; more than all upstreams together can serve. */
export const maxRequestsPerSecond = 1_000_000;
