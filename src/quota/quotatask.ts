/**
 * Limits the requests of each team over all daemons.
 *
 * Owns the state and the timer; src/policy/quota decides. Exists only while the document has a team with a rate. Relies on
 * datagrams: lost ones are repeated by the next request, and a daemon that reaches no counter uses its own share.
 */
import type { Team } from "../config/team.js";
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { TeamName } from "../ids/teamname.js";
import { log } from "../log/log.js";
import { QuotaAgent } from "../policy/quota/quotaagent.js";
import type { QuotaBound } from "../policy/quota/quotabound.js";
import type { QuotaResult } from "../policy/quota/quotaresult.js";
import type { QuotaStatus } from "../policy/quota/quotastatus.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";

const logger = log("quota");

/** Interval of the checks while answers are outstanding: a third of the time after which one counts as lost. */
const BUSY_INTERVAL_MS = 20;
/** Interval of the checks otherwise, for the renewal of leases and of prefetched tokens. */
const IDLE_INTERVAL_MS = 250;

type QuotaTaskDependencies = {
    readonly self: Address;
    readonly incarnation: Incarnation;
    readonly bound: QuotaBound;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the addresses of all daemons, this one included. */
    readonly members: () => readonly Address[];
    /** Called when the first team gets a rate. */
    readonly onStart: () => void;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Grants tokens for requests. Teams without a rate always get one. */
export class QuotaTask {
    #agent: QuotaAgent | undefined;
    #timer: NodeJS.Timeout | undefined;
    #hadAgent = false;
    #isTickSoon = false;
    #isFlushDue = false;
    #isStopped = false;

    constructor(private readonly deps: QuotaTaskDependencies) {}

    /** Applies the teams of a new document. */
    applyTeams(teams: readonly Team[]): void {
        const limited = teams.filter(({ ratePerSecond }) => ratePerSecond > 0);
        if (limited.length === 0 && this.#agent === undefined) {
            return;
        }
        const now = this.deps.clock();
        this.#agent ??= this.#createAgent(now);
        this.#agent.applyLimits(new Map(limited.map(team => [team.name, team])), now);
        if (limited.length === 0) {
            this.#agent = undefined;
            clearTimeout(this.#timer);
        }
    }

    /** Applies a change of the known daemons. */
    applyMembers(): void {
        this.#agent?.applyMembers(this.deps.members(), this.deps.clock());
    }

    /** Returns a token or a refusal, or a promise of one that settles within `maxWaitMs` milliseconds. */
    acquire(team: TeamName, maxWaitMs: number): QuotaResult | Promise<QuotaResult> {
        if (this.#agent === undefined) {
            return { type: "token" };
        }
        let settle: (result: QuotaResult) => void = () => {};
        const promise = new Promise<QuotaResult>(resolve => {
            settle = resolve;
        });
        const result = this.#agent.acquire(team, maxWaitMs, this.deps.clock(), settle);
        if (result !== undefined) {
            return result;
        }
        this.#scheduleFlush();
        return promise;
    }

    /** Takes a token that is at hand; returns false if there is none. */
    tryAcquire(team: TeamName): boolean {
        return this.#agent?.tryAcquire(team, this.deps.clock()) ?? true;
    }

    /** Returns the token of a request that provably did not run. */
    release(team: TeamName): void {
        this.#agent?.release(team);
    }

    /** Handles a message of a daemon. */
    receive(message: Extract<Message, { type: "quota-ask" | "quota-answer"; }>): void {
        const now = this.deps.clock();
        if (message.type === "quota-ask") {
            this.#agent?.receiveAsk(message.from, message, now);
        }
        else {
            this.#agent?.receiveAnswer(message.from, message, now);
        }
    }

    /** Returns the state of each team with a rate. */
    status(): QuotaStatus[] {
        return this.#agent?.status(this.deps.clock()) ?? [];
    }

    stop(): void {
        this.#isStopped = true;
        clearTimeout(this.#timer);
    }

    #createAgent(now: number): QuotaAgent {
        const { self, incarnation, bound, random, members, onStart, send } = this.deps;
        // The daemon's clock starts with its process. A later agent may follow one whose leases are still counted.
        const startedAt = this.#hadAgent ? now : 0;
        this.#hadAgent = true;
        const agent = new QuotaAgent({
            self,
            incarnation,
            startedAt,
            bound,
            random,
            sendAsk: (to, ask) => send(to, { type: "quota-ask", from: self, ...ask }),
            sendAnswer: (to, answer) => send(to, { type: "quota-answer", from: self, ...answer }),
        });
        onStart();
        agent.applyMembers(members(), now);
        logger.change("The requests of teams with a rate are counted over all daemons.", { members: members().length });
        this.#agent = agent;
        this.#tick();
        return agent;
    }

    /** Sends the requests of one turn of the event loop together. */
    #scheduleFlush(): void {
        if (this.#isFlushDue) {
            return;
        }
        this.#isFlushDue = true;
        setImmediate(() => {
            this.#isFlushDue = false;
            this.#agent?.flush(this.deps.clock());
            this.#scheduleTick(true);
        });
    }

    #scheduleTick(isSoon: boolean): void {
        if (this.#isStopped || (this.#isTickSoon && isSoon)) {
            return;
        }
        clearTimeout(this.#timer);
        this.#isTickSoon = isSoon;
        this.#timer = setTimeout(() => this.#tick(), isSoon ? BUSY_INTERVAL_MS : IDLE_INTERVAL_MS);
    }

    #tick(): void {
        this.#isTickSoon = false;
        if (this.#agent !== undefined) {
            this.#agent.tick(this.deps.clock());
            this.#scheduleTick(this.#agent.isBusy);
        }
    }
}
