/** The problems that winglock itself responds with. */
import { httpStatus } from "../http/httpstatus.js";
import type { ProblemType } from "../policy/retry/problemtype.js";

/** The status (RFC 9110) and the title of a problem document. */
type Problem = { readonly status: number; readonly title: string; };

/** Maps each problem type to its status and title. */
export const problems: Readonly<Record<ProblemType, Problem>> = {
    "no-rule": { status: httpStatus.notFound, title: "No rule matches the request." },
    "not-ready": { status: httpStatus.serviceUnavailable, title: "The daemon has no configuration yet." },
    "stopping": { status: httpStatus.serviceUnavailable, title: "The daemon is stopping." },
    "unauthorized": { status: httpStatus.unauthorized, title: "The request needs the key of a team." },
    "stale": {
        status: httpStatus.serviceUnavailable,
        title: "The daemon's configuration is too old for it to accept keys.",
    },
    "too-deep": { status: httpStatus.loopDetected, title: "Calls between services are nested too deep." },
    "head-too-large": {
        status: httpStatus.requestHeaderFieldsTooLarge,
        title: "The request's head is larger than allowed.",
    },
    "body-too-large": { status: httpStatus.contentTooLarge, title: "The request's body is larger than allowed." },
    "body-memory": {
        status: httpStatus.serviceUnavailable,
        title: "The daemon holds as many request bodies as its memory allows.",
    },
    "body-timeout": {
        status: httpStatus.requestTimeout,
        title: "The request's body was not complete before its deadline.",
    },
    "bad-request": { status: httpStatus.badRequest, title: "The request can't be read." },
    "internal": { status: httpStatus.internalServerError, title: "Winglock has failed." },
    "no-upstream": { status: httpStatus.serviceUnavailable, title: "No upstream of the service takes work now." },
    "region-unavailable": {
        status: httpStatus.serviceUnavailable,
        title: "No upstream in the regions that may serve the request takes work now.",
    },
    "overloaded": { status: httpStatus.serviceUnavailable, title: "All upstreams of the service are busy." },
    "quarantined": {
        status: httpStatus.serviceUnavailable,
        title: "Upstreams have crashed under this request; it is not run for a while.",
    },
    "over-quota": { status: httpStatus.tooManyRequests, title: "The team's requests exceed its limit." },
    "quota-unknown": {
        status: httpStatus.serviceUnavailable,
        title: "The team's requests can't be counted at present.",
    },
    "unreachable": { status: httpStatus.serviceUnavailable, title: "The upstream could not be reached." },
    "deadline": { status: httpStatus.gatewayTimeout, title: "The request's deadline has passed." },
    "answer-lost": { status: httpStatus.badGateway, title: "The upstream's answer was lost." },
};
