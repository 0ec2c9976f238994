/** Builds configurations in the platform's format, with the names of deploy/wire.toml. */

/** Returns a configuration of the services `pages` and `fees`, with a rule for each and the additional rules. */
export function platformConfiguration(revision: number, additionalRules: readonly object[] = []): object {
    const rule = (name: string, kind: string): object => ({
        name,
        host: "site.example",
        pathPrefix: `/${name}/`,
        kind,
        timeLimitMs: 1000,
        targetMs: 200,
        priority: 1,
        service: name,
        maxTries: 2,
    });
    return {
        revision,
        rules: [rule("pages", "repeatable"), rule("fees", "once"), ...additionalRules],
        services: ["pages", "fees"].map(name => ({
            name,
            healthPath: "/health",
            connections: 50,
            protocol: "h1",
            tls: false,
        })),
        limits: { headerBytes: 16384, bodyBytes: 65536, headersTimeoutMs: 3000, keepAliveMs: 15000 },
    };
}
