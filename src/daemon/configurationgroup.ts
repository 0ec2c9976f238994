/** Holds the configuration that this daemon applies, and the components that load, watch, pull and publish it. */
import type { Document } from "../config/document.js";
import { ChangePublisher } from "../distribution/changepublisher.js";
import { ConfigurationPuller } from "../distribution/configurationpuller.js";
import { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import { DocumentApplier } from "../distribution/documentapplier.js";
import { DocumentRejection } from "../distribution/documentrejection.js";
import { DocumentWatcher } from "../distribution/documentwatcher.js";
import { Evacuations } from "../evacuation/evacuations.js";
import type { HallsChange } from "../policy/halls/hallschange.js";
import { sleep } from "../time/sleep.js";
import { bootstrap } from "./bootstrap.js";
import type { DaemonContext } from "./daemoncontext.js";
import { RuleMatcher } from "./rulematcher.js";

/** Delay before the second attempt to write a change; before each later attempt it is longer by the same amount. */
const RETRY_DELAY_MS = 100;

/** Returns the evacuated halls that the document contains; used if the store does not keep them separately. */
const evacuatedHallsOf = ({ revision, evacuated = [] }: Document): HallsChange => ({
    position: { era: 0, revision },
    complete: true,
    evacuated,
    ended: [],
    unreadable: [],
});

/** Owns the document and the evacuations. MembershipGroup starts and stops the watch. */
export class ConfigurationGroup {
    readonly current = new CurrentConfiguration();
    readonly evacuations = new Evacuations();
    readonly rejection = new DocumentRejection(this.current);
    readonly rules: RuleMatcher;
    readonly puller: ConfigurationPuller;
    readonly watcher: DocumentWatcher;
    readonly #applier: DocumentApplier;
    readonly publisher: ChangePublisher;

    constructor(private readonly context: DaemonContext) {
        const { environment, settings, clock, peer, metrics } = context;
        const { current, evacuations } = this;
        this.rules = new RuleMatcher(current, clock, settings.region);
        this.puller = new ConfigurationPuller(current, peer, metrics, clock);
        this.#applier = new DocumentApplier(current, this.rejection, clock);
        this.watcher = new DocumentWatcher(environment.store, current, evacuations, this.#applier, clock);
        this.publisher = new ChangePublisher(environment.store, current, attempt => sleep(RETRY_DELAY_MS * attempt));
        current.onChange(document => metrics.revision.set(document.revision));
        metrics.showRejected(() => this.rejection.isRejected);
        metrics.showAge(() => current.ageMs(clock()));
        if (environment.registry === undefined) {
            current.onChange(document => evacuations.recordStoreChange(evacuatedHallsOf(document)));
        }
        metrics.showEvacuated(() => evacuations.halls.length);
    }

    /** Resolves when the store and the seeds have responded or failed. */
    load(): Promise<void> {
        const { environment, settings, clock } = this.context;
        return bootstrap(environment.store, settings.seeds, this.puller, this.evacuations, this.#applier, clock);
    }
}
