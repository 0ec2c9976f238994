/** Observes the response to a call between daemons while it is received. */

/** Updated during the call, so that it also tells what was received of a response that did not end. */
export class Transfer {
    /** True once the head of the response has been received. */
    hasResponse = false;
    /** Bytes of the body that have been received, as they are sent over the connection. */
    bytes = 0;
}
