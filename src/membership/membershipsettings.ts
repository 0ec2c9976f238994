/** What operators set of membership. */
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { HostName } from "../ids/hostname.js";
import type { RegionName } from "../ids/regionname.js";
import type { ServiceName } from "../ids/servicename.js";

/** Where this daemon is, and where the upstream beside it announces itself or is to be found. */
export type MembershipSettings = {
    readonly host: HostName;
    readonly hall: HallName;
    readonly region: RegionName;
    readonly announce?: Address;
    readonly upstream?: Address;
    readonly callerService?: ServiceName;
};
