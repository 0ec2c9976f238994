/**
 * Records the announcements of the upstreams beside this daemon, some of which may have been delayed.
 *
 * If a new upstream claims an address where another one is registered, the upstream that responds there is probed and
 * policy/membership/resolveclaim.ts decides. Owns no state; the table of upstreams is passed in.
 */
import type { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
import type { Occupant } from "../policy/membership/occupant.js";
import { resolveClaim } from "../policy/membership/resolveclaim.js";
import type { Announcement } from "./announcement.js";
import type { LocalUpstreamTable } from "./localupstreamtable.js";
import { MembershipError } from "./membershiperror.js";

const logger = log("roster");

/** Relies on `probe` to resolve with what responds at the address of an announcement, and never to reject. */
export class AnnouncementRecorder {
    constructor(
        private readonly table: LocalUpstreamTable,
        private readonly probe: (announcement: Announcement) => Promise<Occupant>,
    ) {}

    /**
     * Records an announcement; resolves with false if it changes nothing. Rejects with a MembershipError if it is
     * unknown which of two upstreams is at the address. Such an announcement must not be acknowledged; the next one
     * leads to another probe.
     */
    async record(name: UpstreamName, announcement: Announcement, now: number): Promise<boolean> {
        const { address } = announcement;
        if (!this.table.isContested(name, address)) {
            return this.table.record(name, announcement, now);
        }
        switch (resolveClaim(name, await this.probe(announcement))) {
            case "there":
                return this.table.record(name, announcement, now);
            case "late":
                logger.change(
                    "A delayed announcement was ignored: another upstream responds at the address. The sender has ended.",
                    { upstream: name, address },
                );
                this.table.recordEnded(name);
                return false;
            case "unknown":
                throw new MembershipError(
                    `two upstreams claim ${address} and none responds there; the announcement is not acknowledged`,
                );
        }
    }
}
