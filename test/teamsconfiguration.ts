/** Builds configurations with teams in the platform's format. */
import { platformConfiguration } from "./platformconfiguration.js";

const publicRule = {
    name: "open",
    host: "site.example",
    pathPrefix: "/open/",
    kind: "repeatable",
    service: "pages",
    public: true,
};

/** Returns a configuration with a public rule for `/open/` and with these teams. */
export function teamsConfiguration(revision: number, tenants: unknown): object {
    return { ...platformConfiguration(revision, [publicRule]), tenants };
}
