/** A whole mesh of real processes on loopback: store, proxy, upstreams and daemons. */
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
import { RunRecord } from "./runrecord.js";
import { runCli } from "./runcli.js";
import { takeRunNumber } from "./runnumber.js";

const script = (path: string): string => new URL(`../${path}`, import.meta.url).pathname;
const KEPT_LOG_LINES = 100_000;
const PEER_KEY = "demo-key-of-no-secrecy";

/** `settings` is laid over every daemon's; `direct` and `directPeers` leave the proxy out. */
type MeshOptions = {
    readonly settings?: object;
    readonly direct?: boolean;
    readonly directPeers?: boolean;
    readonly seed?: number;
    /** False leaves the store empty. */
    readonly configured?: boolean;
    /** Flags of Node for the daemons, to profile them. */
    readonly daemonFlags?: readonly string[];
};

/** Starts, faults and stops its processes, and only those. */
export class Mesh {
    readonly record = new RunRecord();
    /** The daemons' newest log lines. */
    readonly log: string[] = [];
    readonly daemons = new Map<string, Child>();
    readonly upstreams = new Map<string, Child>();
    readonly hosts: readonly HostPlan[];
    readonly #folder = mkdtempSync(join(tmpdir(), "winglock-"));
    readonly #others: Child[] = [];
    store: Child | undefined;

    private constructor(
        readonly spec: MeshSpec,
        private readonly run: number,
        private readonly lock: Server,
        private readonly options: MeshOptions,
    ) {
        const hosts = planHosts(spec, run);
        this.hosts = options.directPeers ? hosts.map(host => ({ ...host, peerProxy: host.peer })) : hosts;
    }

    /** Starts everything and applies the mesh's configuration with the real command. */
    static async start(spec: MeshSpec, options: MeshOptions = {}): Promise<Mesh> {
        const { run, lock } = await takeRunNumber();
        const mesh = new Mesh(spec, run, lock, options);
        try {
            await mesh.#startPlatform();
            mesh.hosts.forEach(host => mesh.startUpstream(host));
            mesh.hosts.forEach(host => mesh.startDaemon(host));
            const all = [...mesh.upstreams.values(), ...mesh.daemons.values()];
            await Promise.all(all.map(child => child.ready()));
            if (options.configured ?? true) {
                await mesh.#configure();
            }
            return mesh;
        }
        catch (err) {
            await mesh.stop();
            throw err;
        }
    }

    get storeAddress(): string {
        return `127.${this.run}.0.1:7300`;
    }

    get storeProxy(): string {
        return `127.${this.run}.0.1:7301`;
    }

    get proxyControl(): string {
        return `127.${this.run}.0.1:7400`;
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
        this.store = new Child(script("standin/storemain.js"), [this.storeAddress], () => {});
        return this.store;
    }

    startUpstream(host: HostPlan): Child {
        const seed = (this.options.seed ?? 1) * 1000 + this.hosts.indexOf(host);
        const child = new Child(
            script("standin/upstreammain.js"),
            [host.upstream, String(this.spec.slots), String(seed)],
            line => this.record.read(host.name, line, performance.now()),
        );
        this.upstreams.set(host.name, child);
        return child;
    }

    startDaemon(host: HostPlan): Child {
        const file = join(this.#folder, `${host.name}.json`);
        writeFileSync(file, JSON.stringify(this.#settings(host)));
        const child = new Child(script("bin/winglockd.cjs"), ["--settings", file], line => this.#keep(line), {
            nodeFlags: this.options.daemonFlags,
        });
        this.daemons.set(host.name, child);
        return child;
    }

    #keep(line: string): void {
        this.log.push(line);
        if (this.log.length > KEPT_LOG_LINES) {
            this.log.splice(0, KEPT_LOG_LINES / 2);
        }
    }

    /** Lays the faults on the proxy, in place of those before. */
    async setFaults(faults: readonly object[]): Promise<void> {
        await control(this.proxyControl, faults);
    }

    cli(...args: string[]): ReturnType<typeof runCli> {
        return runCli(this.operators, args);
    }

    /** Stops daemons by plan, then the rest; resolves with the daemons' exit codes. */
    async stop(): Promise<(number | null)[]> {
        const daemons = [...this.daemons.values()];
        daemons.forEach(child => child.signal("SIGCONT"));
        const codes = await Promise.all(daemons.map(child => child.end()));
        const rest = [...this.upstreams.values(), ...this.#others, ...(this.store === undefined ? [] : [this.store])];
        await Promise.all(rest.map(child => child.end("SIGKILL")));
        this.lock.close();
        rmSync(this.#folder, { recursive: true, force: true });
        return codes;
    }

    async #startPlatform(): Promise<void> {
        const links = planHosts(this.spec, this.run).flatMap(host => [
            { listen: host.peerProxy, target: host.peer, place: host.place },
            { listen: host.upstreamProxy, target: host.upstream, place: host.place },
        ]);
        const file = join(this.#folder, "links.json");
        writeFileSync(
            file,
            JSON.stringify([...links, { listen: this.storeProxy, target: this.storeAddress, place: 0 }]),
        );
        const args = [this.proxyControl, String(this.spec.betweenMs), file];
        const proxy = new Child(script("standin/proxymain.js"), args, () => {});
        this.#others.push(proxy);
        await Promise.all([proxy.ready(), this.startStore().ready()]);
    }

    async #configure(): Promise<void> {
        const document = meshDocument(this.spec, this.hosts, this.options.direct ?? false);
        writeFileSync(this.configurationFile, JSON.stringify(document, undefined, 4));
        const { code, stderr } = await this.cli("apply", this.configurationFile);
        if (code !== 0) {
            throw new Error(`the configuration was not accepted: ${stderr}`);
        }
        const controls = this.hosts.map(host => control(host.upstream, { meanMs: this.spec.meanMs }));
        await Promise.all(controls);
    }

    #settings(host: HostPlan): object {
        return {
            host: host.name,
            hall: host.hall,
            region: this.spec.region,
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
