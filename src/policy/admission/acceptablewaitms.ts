/** Bounds how long a request is queued at one upstream while another one could serve it. */

/**
 * Share of the mean service time that a request waits at most while another upstream in the ingress's data hall could
 * serve it. Lower than OTHER_HALL_SHARE, so that it goes elsewhere sooner within the data hall than out of it.
 */
const SAME_HALL_SHARE = 0.1;
/** The same while only upstreams in other data halls could serve the request. */
const OTHER_HALL_SHARE = 0.2;

/** `serviceMs` is the mean service time, `nearChoices` the number of other upstreams in the ingress's data hall. */
export function acceptableWaitMs(serviceMs: number, nearChoices: number): number {
    return serviceMs * (nearChoices > 0 ? SAME_HALL_SHARE : OTHER_HALL_SHARE);
}
