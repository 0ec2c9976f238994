/** Defines the settings of operators for membership. */
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { HostName } from "../ids/hostname.js";
import type { RegionName } from "../ids/regionname.js";
import type { ServiceName } from "../ids/servicename.js";

/** The location of this daemon, and the addresses for the upstream beside it. */
export type MembershipSettings = {
    readonly host: HostName;
    readonly hall: HallName;
    readonly region: RegionName;
    /** The address at which this daemon listens for announcements of upstreams. */
    readonly announce?: Address;
    /** The address at which this daemon looks for an upstream after its start. */
    readonly upstream?: Address;
    /** The service of the upstream at that address. */
    readonly callerService?: ServiceName;
};
