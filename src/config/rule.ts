/** What an operator sets for the requests that a rule matches. */
import { z } from "zod";
import { RuleName } from "../ids/rulename.js";
import { ServiceName } from "../ids/servicename.js";
import { TeamName } from "../ids/teamname.js";
import { AnswerMode } from "./answermode.js";
import { Kind } from "./kind.js";
import { Priority } from "./priority.js";
import { priorityOfRank } from "./priorityofrank.js";
import { Share } from "./share.js";

/** Milliseconds, where the rule does not say. */
const DEFAULT_TIME_LIMIT_MS = 10_000;
/** Ten minutes, in milliseconds: bounds how long the ledger remembers a request. */
const MAX_TIME_LIMIT_MS = 600_000;
/** Characters of a host or a path prefix. */
const MAX_PATH_CHARS = 1024;
/** More than there are methods in use. */
const MAX_METHODS = 16;
/** Parts of a split; bounds the document. */
const MAX_SHARES = 64;
/** Attempts of a request; more would only add load. */
const MAX_ATTEMPTS = 16;

const Method = z.string().regex(/^[A-Z][A-Z-]{0,31}$/, "must be an HTTP method in capitals");

const hasPositiveWeight = (shares: readonly Share[]): boolean =>
    shares.length === 0 || shares.some(({ weight }) => weight > 0);

const Rule = z.strictObject({
    name: RuleName,
    host: z.string().max(MAX_PATH_CHARS).default(""),
    pathPrefix: z.string().max(MAX_PATH_CHARS).startsWith("/"),
    methods: z.array(Method).max(MAX_METHODS).default([]),
    service: ServiceName,
    split: z.array(Share).max(MAX_SHARES).refine(hasPositiveWeight, "one part must have a weight above 0").optional(),
    priority: z.union([Priority, z.int().min(0).transform(priorityOfRank)]).default("normal"),
    tenant: TeamName.default("none" as TeamName),
    kind: Kind.optional(),
    timeLimitMs: z.int().min(1).max(MAX_TIME_LIMIT_MS).default(DEFAULT_TIME_LIMIT_MS),
    targetMs: z.int().min(1).max(MAX_TIME_LIMIT_MS).optional(),
    maxTries: z.int().min(1).max(MAX_ATTEMPTS).optional(),
    answer: AnswerMode.default("whole"),
});
type Rule = z.infer<typeof Rule>;

/**
 * Which requests it matches and how they are handled. No `kind` means the method's own; a `split` goes before the
 * `service`; `targetMs` is the time within which an answer is worth most; `maxTries` bounds the upstreams of a request.
 */
export { Rule };
