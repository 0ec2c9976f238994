/**
 * Takes announcements of upstreams beside this daemon, of which an old one may come late.
 *
 * Relies on policy/membership/judgeclaim.ts where two upstreams claim one address; owns nothing but the order of such questions.
 */
import type { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
import type { Occupant } from "../policy/membership/occupant.js";
import { resolveClaim } from "../policy/membership/resolveclaim.js";
import type { Announcement } from "./announcement.js";
import type { LocalUpstreams } from "./localupstreamtable.js";
import { MembershipError } from "./membershiperror.js";

const logger = log("roster");

/** `ask` resolves with who answers at the address of an announcement; it never rejects. */
export class Claims {
    constructor(
        private readonly local: LocalUpstreams,
        private readonly ask: (announcement: Announcement) => Promise<Occupant>,
    ) {}

    /**
     * Records an announcement; resolves with false when it changes nothing. Rejects with a MembershipError when it can't be told
     * which of two upstreams is there: then it must not be acknowledged, and the next one is asked about again.
     */
    async record(name: UpstreamName, announcement: Announcement, now: number): Promise<boolean> {
        const { address } = announcement;
        if (!this.local.isContested(name, address)) {
            return this.local.record(name, announcement, now);
        }
        switch (resolveClaim(name, await this.ask(announcement))) {
            case "there":
                return this.local.record(name, announcement, now);
            case "late":
                logger.change("An announcement came late: another upstream is at its address.", {
                    upstream: name,
                    address,
                });
                this.local.end(name);
                return false;
            case "unknown":
                throw new MembershipError(`two upstreams claim ${address}, and nobody answers there`);
        }
    }
}
