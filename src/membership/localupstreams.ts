/**
 * Keeps track of the upstreams beside this daemon.
 *
 * Owns the server for their announcements, the search for an upstream after a start, and the removal of upstreams whose
 * announcements have timed out.
 */
import type { Dialect } from "../dialect/dialect.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Announcement } from "./announcement.js";
import { AnnouncementRecorder } from "./announcementrecorder.js";
import { AnnouncementServer } from "./announcementserver.js";
import { findUpstream } from "./findupstream.js";
import { LocalUpstreamTable } from "./localupstreamtable.js";
import type { MembershipSettings } from "./membershipsettings.js";
import { probeOccupant } from "./probeoccupant.js";
import type { StartTime } from "./starttime.js";

const logger = log("roster");

/** Interval at which unresponsive upstreams are removed; a fraction of the timeout of announcements. */
const SWEEP_INTERVAL_MS = 1000;

type LocalUpstreamsDependencies = {
    readonly settings: MembershipSettings;
    readonly dialect: Dialect;
    /** Returns the path of the health endpoint for upstreams of a service. */
    readonly healthPath: (service: ServiceName) => string;
    readonly clock: Clock;
    /** Called after a change of the upstreams, before the response to the announcement that caused it is sent. */
    readonly onChange: () => void;
    /** Called after each sweep that removed no upstream, until the daemon starts leaving. */
    readonly onSweep: () => void;
};

/** Started once with `listen` and stopped once with `stop`. */
export class LocalUpstreams {
    readonly #table = new LocalUpstreamTable();
    readonly #recorder: AnnouncementRecorder;
    readonly #announcementServer: AnnouncementServer;
    readonly #sweepTicker = new Ticker(SWEEP_INTERVAL_MS, () => this.#sweep());
    #isLeaving = false;

    constructor(private readonly deps: LocalUpstreamsDependencies) {
        this.#recorder = new AnnouncementRecorder(
            this.#table,
            ({ address, service }) => probeOccupant(address, deps.healthPath(service), deps.dialect),
        );
        this.#announcementServer = new AnnouncementServer({
            onAnnounced: (name, announcement) => this.#record(name, announcement),
            onLeft: (name, startTime) => this.#remove(name, startTime),
        });
    }

    get all(): HostedUpstream[] {
        return this.#table.all;
    }

    /** Listens for announcements if an address for them is configured, and starts the sweeps. */
    async listen(): Promise<void> {
        const { announce } = this.deps.settings;
        if (announce !== undefined) {
            await this.#announcementServer.listen(announce);
        }
        this.#sweepTicker.start();
    }

    /** Searches for the configured upstream; resolves when one is registered or the search has timed out. */
    async discover(): Promise<void> {
        const { settings, dialect, healthPath, clock } = this.deps;
        const { upstream: address, callerService: service } = settings;
        if (address === undefined || service === undefined) {
            return;
        }
        const shouldContinue = (): boolean => this.#table.all.length === 0 && !this.#isLeaving;
        const path = (): string => healthPath(service);
        const found = await findUpstream({ address, service, dialect, healthPath: path, shouldContinue, clock });
        if (found !== undefined && shouldContinue()) {
            await this.#record(found.name, found.announcement);
        }
    }

    /** Records that an upstream's responses report that it is leaving permanently. */
    recordLeaving(name: UpstreamName): void {
        if (this.#table.recordLeaving(name)) {
            logger.change("An upstream reports in its responses that it is leaving. It is published as draining.", {
                upstream: name,
            });
            this.deps.onChange();
        }
    }

    /** Ends the search for an upstream and the calls of `onSweep`, since the daemon is leaving. */
    startLeaving(): void {
        this.#isLeaving = true;
    }

    stop(): void {
        this.#sweepTicker.stop();
        this.#announcementServer.close();
    }

    /**
     * Records an announcement. A restart of an upstream under its name is reported as a removal and an addition, so
     * that its gate is replaced, with everything the gate has learned and holds.
     */
    async #record(name: UpstreamName, announcement: Announcement): Promise<void> {
        if (this.#table.removeEarlierIncarnation(name, announcement.born)) {
            logger.change("An upstream restarted under the same name. Its gate is replaced.", { upstream: name });
            this.deps.onChange();
        }
        if (await this.#recorder.record(name, announcement, this.deps.clock())) {
            this.deps.onChange();
        }
    }

    #remove(name: UpstreamName, startTime: StartTime | undefined): void {
        if (this.#table.remove(name, startTime)) {
            this.deps.onChange();
        }
    }

    #sweep(): void {
        if (this.#table.removeUnresponsive(this.deps.clock()).length > 0) {
            this.deps.onChange();
        }
        else if (!this.#isLeaving) {
            this.deps.onSweep();
        }
    }
}
