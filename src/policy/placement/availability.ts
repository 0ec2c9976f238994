/** Defines whether an upstream may be sent requests, and if not, why. */

/**
 * - `available`: it may be sent requests.
 * - `draining`: an operator or the upstream itself is draining it.
 * - `leaving`: its gate reported that it is leaving.
 * - `evacuated`: operators have evacuated its data hall.
 * - `suspected`: its gate is unresponsive.
 * - `full`: it has just refused a request.
 * - `cold`: its gate refused a request because the upstream is cold.
 * - `limited`: this daemon has used its share of the stated rate limit.
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
