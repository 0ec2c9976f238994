/** The answers that winglock makes itself. */
import type { ProblemType } from "./problemtype.js";

/** A status of RFC 9110 and words for people. */
type Problem = { readonly status: number; readonly title: string; };

/** By type. */
export const problems: Readonly<Record<ProblemType, Problem>> = {
    "no-rule": { status: 404, title: "No rule matches the request." },
    "not-ready": { status: 503, title: "The daemon has no configuration yet." },
    "too-deep": { status: 508, title: "Calls between services are nested too deep." },
    "head-too-large": { status: 431, title: "The request's head is larger than allowed." },
    "body-too-large": { status: 413, title: "The request's body is larger than allowed." },
    "bad-request": { status: 400, title: "The request can't be read." },
    "internal": { status: 500, title: "Winglock has failed." },
    "no-upstream": { status: 503, title: "No upstream of the service takes work now." },
    "overloaded": { status: 503, title: "All upstreams of the service are busy." },
    "unreachable": { status: 503, title: "The upstream could not be reached." },
    "deadline": { status: 504, title: "The request's time is up." },
    "answer-lost": { status: 502, title: "The upstream's answer was lost." },
};
