/**
 * The upstreams beside this daemon, as they announce themselves.
 *
 * Owns the listener for announcements, and the look for an upstream after a start and for those that have fallen silent.
 */
import type { Dialect } from "../dialect/dialect.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Announcement } from "./announcement.js";
import { Claims } from "./announcementrecorder.js";
import { AnnouncementServer } from "./announcementserver.js";
import { findUpstream } from "./findupstream.js";
import { LocalUpstreams } from "./localupstreamtable.js";
import type { MembershipSettings } from "./membershipsettings.js";
import { occupantOf } from "./probeoccupant.js";
import type { Born } from "./starttime.js";

const logger = log("roster");

/** How often upstreams that have fallen silent are looked for, in milliseconds: a fraction of the silence that ends one. */
const SWEEP_EVERY_MS = 1000;

/** `onChange` is called before an upstream has the answer to its announcement, `onSweep` after each look with nothing found. */
type OwnDependencies = {
    readonly settings: MembershipSettings;
    readonly dialect: Dialect;
    readonly healthPath: (service: ServiceName) => string;
    readonly clock: Clock;
    readonly onChange: () => void;
    readonly onSweep: () => void;
};

/** Started once, stopped once. */
export class OwnUpstreams {
    readonly #local = new LocalUpstreams();
    readonly #claims: Claims;
    readonly #announcements: AnnouncementServer;
    readonly #sweep = new Ticker(SWEEP_EVERY_MS, () => this.#look());
    #isLeaving = false;

    constructor(private readonly deps: OwnDependencies) {
        this.#claims = new Claims(
            this.#local,
            ({ address, service }) => occupantOf(address, deps.healthPath(service), deps.dialect),
        );
        this.#announcements = new AnnouncementServer({
            onAnnounced: (name, announcement) => this.#record(name, announcement),
            onLeft: (name, born) => this.#remove(name, born),
        });
    }

    get all(): HostedUpstream[] {
        return this.#local.all;
    }

    /** Listens for announcements. */
    async listen(): Promise<void> {
        const { announce } = this.deps.settings;
        if (announce !== undefined) {
            await this.#announcements.listen(announce);
        }
        this.#sweep.start();
    }

    /** Resolves when an upstream is known, or none was found for a while: no record without one is published before. */
    async find(): Promise<void> {
        const { settings, dialect, healthPath, clock } = this.deps;
        const { upstream: address, callerService: service } = settings;
        if (address === undefined || service === undefined) {
            return;
        }
        const isWanted = (): boolean => this.#local.all.length === 0 && !this.#isLeaving;
        const path = (): string => healthPath(service);
        const found = await findUpstream({ address, service, dialect, path, isWanted, clock });
        if (found !== undefined && isWanted()) {
            await this.#record(found.name, found.announcement);
        }
    }

    /** Records that an upstream says in its answers that it leaves for good. */
    recordEnding(name: UpstreamName): void {
        if (this.#local.recordEnding(name)) {
            logger.change("An upstream leaves, by its answers.", { upstream: name });
            this.deps.onChange();
        }
    }

    /** From now on no upstream is looked for. */
    startLeaving(): void {
        this.#isLeaving = true;
    }

    stop(): void {
        this.#sweep.stop();
        this.#announcements.close();
    }

    /** One that has started again under its name is a departure and an arrival: its gate goes, with all it has learnt and holds. */
    async #record(name: UpstreamName, announcement: Announcement): Promise<void> {
        if (this.#local.removeEarlierLife(name, announcement.born)) {
            logger.change("An upstream has started again under its name.", { upstream: name });
            this.deps.onChange();
        }
        if (await this.#claims.record(name, announcement, this.deps.clock())) {
            this.deps.onChange();
        }
    }

    #remove(name: UpstreamName, born: Born | undefined): void {
        if (this.#local.remove(name, born)) {
            this.deps.onChange();
        }
    }

    #look(): void {
        if (this.#local.removeSilent(this.deps.clock()).length > 0) {
            this.deps.onChange();
        }
        else if (!this.#isLeaving) {
            this.deps.onSweep();
        }
    }
}
