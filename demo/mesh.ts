/** Runs a mesh of real processes on loopback: store, proxy, upstreams and daemons. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Child } from "./child.js";
import { control } from "./control.js";
import type { HostPlan } from "./hostplan.js";
import { meshDocument } from "./meshdocument.js";
import type { MeshSpec } from "./meshspec.js";
import { planHosts } from "./planhosts.js";
import { runCli } from "./runcli.js";
import { RunRecord } from "./runrecord.js";
import { takeRunNumber } from "./takerunnumber.js";

const resolveScript = (path: string): string => new URL(`../${path}`, import.meta.url).pathname;
const MAX_LOG_LINES = 100_000;
const PEER_KEY = "demo-key-of-no-secrecy";

/**
 * `settings` overrides the settings of every daemon. With `direct`, daemons connect to their upstreams without the
 * proxy, and with `directPeers` to one another.
 */
type MeshOptions = {
    readonly settings?: object;
    readonly direct?: boolean;
    readonly directPeers?: boolean;
    readonly seed?: number;
    /** Whether the configuration of the mesh is applied at the start, by default true; otherwise the store is empty. */
    readonly configured?: boolean;
    /** Command-line flags of Node for the daemons, such as those for profiling. */
    readonly daemonFlags?: readonly string[];
};

/** Starts the processes of the mesh, injects faults and stops the processes. Affects no other process. */
export class Mesh {
    readonly record = new RunRecord();
    /** Newest log lines of all daemons. */
    readonly log: string[] = [];
    readonly daemons = new Map<string, Child>();
    readonly upstreams = new Map<string, Child>();
    readonly hosts: readonly HostPlan[];
    readonly #folder = mkdtempSync(join(tmpdir(), "winglock-"));
    readonly #proxies: Child[] = [];
    store: Child | undefined;

    private constructor(
        readonly spec: MeshSpec,
        private readonly runNumber: number,
        private readonly runNumberLock: Server,
        private readonly options: MeshOptions,
    ) {
        const hosts = planHosts(spec, runNumber);
        this.hosts = options.directPeers ? hosts.map(host => ({ ...host, peerProxy: host.peer })) : hosts;
    }

    /** Starts all processes and applies the configuration with the `winglock` command. */
    static async start(spec: MeshSpec, options: MeshOptions = {}): Promise<Mesh> {
        const { run: runNumber, lock } = await takeRunNumber();
        const mesh = new Mesh(spec, runNumber, lock, options);
        try {
            await mesh.#startProxyAndStore();
            mesh.hosts.forEach(host => mesh.startUpstream(host));
            mesh.hosts.forEach(host => mesh.startDaemon(host));
            const children = [...mesh.upstreams.values(), ...mesh.daemons.values()];
            await Promise.all(children.map(child => child.ready()));
            if (options.configured ?? true) {
                await mesh.#applyConfiguration();
            }
            return mesh;
        }
        catch (err) {
            await mesh.stop();
            throw err;
        }
    }

    get storeAddress(): string {
        return `127.${this.runNumber}.0.1:7300`;
    }

    get storeProxy(): string {
        return `127.${this.runNumber}.0.1:7301`;
    }

    get proxyControl(): string {
        return `127.${this.runNumber}.0.1:7400`;
    }

    get operators(): string[] {
        return this.hosts.map(host => host.operator);
    }

    get configurationFile(): string {
        return join(this.#folder, "mesh.json");
    }

    host(name: string): HostPlan {
        return this.hosts.find(host => host.name === name)!;
    }

    startStore(): Child {
        this.store = new Child(resolveScript("standin/storemain.js"), [this.storeAddress], () => {});
        return this.store;
    }

    startUpstream(host: HostPlan): Child {
        const seed = (this.options.seed ?? 1) * 1000 + this.hosts.indexOf(host);
        const child = new Child(
            resolveScript("standin/upstreammain.js"),
            [host.upstream, String(this.spec.slots), String(seed)],
            line => this.record.recordLine(host.name, line, performance.now()),
        );
        this.upstreams.set(host.name, child);
        return child;
    }

    startDaemon(host: HostPlan): Child {
        const file = join(this.#folder, `${host.name}.json`);
        writeFileSync(file, JSON.stringify(this.#settings(host)));
        const child = new Child(
            resolveScript("bin/winglockd.cjs"),
            ["--settings", file],
            line => this.#appendLog(line),
            { nodeFlags: this.options.daemonFlags },
        );
        this.daemons.set(host.name, child);
        return child;
    }

    #appendLog(line: string): void {
        this.log.push(line);
        if (this.log.length > MAX_LOG_LINES) {
            this.log.splice(0, MAX_LOG_LINES / 2);
        }
    }

    /** Replaces the faults that the proxy injects. */
    async setFaults(faults: readonly object[]): Promise<void> {
        await control(this.proxyControl, faults);
    }

    cli(...args: string[]): ReturnType<typeof runCli> {
        return runCli(this.operators, args);
    }

    /** Stops the daemons gracefully, then kills the other processes. Resolves with the exit codes of the daemons. */
    async stop(): Promise<(number | null)[]> {
        const daemons = [...this.daemons.values()];
        // Resumes paused daemons, which would not handle SIGTERM.
        daemons.forEach(child => child.signal("SIGCONT"));
        const exitCodes = await Promise.all(daemons.map(child => child.end()));
        const otherChildren = [
            ...this.upstreams.values(),
            ...this.#proxies,
            ...(this.store === undefined ? [] : [this.store]),
        ];
        await Promise.all(otherChildren.map(child => child.end("SIGKILL")));
        this.runNumberLock.close();
        rmSync(this.#folder, { recursive: true, force: true });
        return exitCodes;
    }

    async #startProxyAndStore(): Promise<void> {
        const links = planHosts(this.spec, this.runNumber).flatMap(host => [
            { listen: host.peerProxy, target: host.peer, place: host.place },
            { listen: host.upstreamProxy, target: host.upstream, place: host.place },
        ]);
        const file = join(this.#folder, "links.json");
        writeFileSync(
            file,
            JSON.stringify([...links, { listen: this.storeProxy, target: this.storeAddress, place: 0 }]),
        );
        const args = [this.proxyControl, String(this.spec.interHallDelayMs), file];
        const proxy = new Child(resolveScript("standin/proxymain.js"), args, () => {});
        this.#proxies.push(proxy);
        await Promise.all([proxy.ready(), this.startStore().ready()]);
    }

    async #applyConfiguration(): Promise<void> {
        const document = meshDocument(this.spec, this.hosts, this.options.direct ?? false);
        writeFileSync(this.configurationFile, JSON.stringify(document, undefined, 4));
        const { code, stderr } = await this.cli("apply", this.configurationFile);
        if (code !== 0) {
            throw new Error(`winglock apply did not accept the configuration of the mesh: ${stderr}`);
        }
        const controls = this.hosts.map(host => control(host.upstream, { meanMs: this.spec.meanMs }));
        await Promise.all(controls);
    }

    #settings(host: HostPlan): object {
        return {
            host: host.name,
            hall: host.hall,
            region: this.spec.regionByHall?.[host.hall] ?? this.spec.region,
            ingress: host.ingress,
            peer: host.peer,
            advertise: host.peerProxy,
            operator: host.operator,
            store: this.storeProxy,
            seeds: this.hosts.filter(other => other !== host).slice(0, 3).map(other => other.peerProxy),
            peerKey: PEER_KEY,
            policy: { profile: this.spec.profile },
            ...this.options.settings,
        };
    }
}
