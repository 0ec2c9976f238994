/** Whether an upstream may be sent requests. */

/**
 * `draining`: operators or the upstream said so; `leaving`: its gate did; `evacuated`: its hall is; `suspected`: its gate does not answer; `full`: it has just
 * turned a request away; `cold`: its gate has, since it is cold; `limited`: this daemon's share of the requests a second that it takes is used.
 */
export type Availability =
    | "available"
    | "draining"
    | "leaving"
    | "evacuated"
    | "suspected"
    | "full"
    | "cold"
    | "limited";
