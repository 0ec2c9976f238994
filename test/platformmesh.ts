/**
 * Runs daemons as on the users' platform: real processes, a stand-in for its store and one instance for each daemon.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type Agent, request as httpRequest } from "node:http";
import type { Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Child } from "../demo/child.js";
import { control } from "../demo/control.js";
import { takeRunNumber } from "../demo/takerunnumber.js";
import type { InstanceControl } from "../standin/instancecontrol.js";
import type { StoreControl } from "../standin/storecontrol.js";
import { platformConfiguration } from "./platformconfiguration.js";
import type { PlatformMeshOptions } from "./platformmeshoptions.js";
import type { PlatformResponse } from "./platformresponse.js";

const scriptPath = (path: string): string => new URL(`../${path}`, import.meta.url).pathname;
const DAEMON_SCRIPT = scriptPath("platform/bin/winglockd.cjs");
const HALLS = ["a", "b", "c"];
const DEFAULT_SLOTS = 4;

type Host = { readonly name: string; readonly ip: string; readonly service: string; readonly hall: string; };

/** Starts, controls and stops its own processes, and no others. */
export class PlatformMesh {
    readonly daemons = new Map<string, Child>();
    readonly instances = new Map<string, Child>();
    /** Lines that the instances have printed, such as `R ID` for each request that they began to run. */
    readonly instanceLines: string[] = [];
    /** The time at which each request first began to run at an instance, by its id. */
    readonly runStartedAt = new Map<string, number>();
    /** Lines that the daemons have logged. */
    readonly log: string[] = [];
    readonly #folder = mkdtempSync(join(tmpdir(), "winglock-"));
    readonly #store: Child;

    private constructor(
        private readonly runNumber: number,
        private readonly lock: Server,
        readonly hosts: readonly Host[],
        private readonly options: PlatformMeshOptions,
    ) {
        this.#store = new Child(scriptPath("standin/storemain.js"), [this.storeAddress], () => {});
    }

    /**
     * Starts one daemon and one instance for each host; each service's hosts are distributed over the halls in turn.
     */
    static async start(
        services: readonly string[] = ["pages", "fees"],
        instancesPerService = 2,
        halls: readonly string[] = HALLS,
        options: PlatformMeshOptions = {},
    ): Promise<PlatformMesh> {
        const { run, lock } = await takeRunNumber();
        const hosts = services.flatMap((service, serviceIndex) =>
            Array.from({ length: instancesPerService }, (_, index) => ({
                name: `${service}-${index + 1}`,
                ip: `127.${run}.2.${1 + serviceIndex * instancesPerService + index}`,
                service,
                hall: halls[index % halls.length]!,
            }))
        );
        const mesh = new PlatformMesh(run, lock, hosts, options);
        try {
            await mesh.#startAll();
            return mesh;
        }
        catch (err) {
            await mesh.stop();
            throw err;
        }
    }

    async #startAll(): Promise<void> {
        await this.#store.ready();
        await this.configure(platformConfiguration(1));
        this.hosts.forEach(host => this.startDaemon(host.name));
        this.hosts.forEach(host => this.startInstance(host.name, `i-${host.name}`));
        await Promise.all([...this.daemons.values(), ...this.instances.values()].map(child => child.ready()));
    }

    get storeAddress(): string {
        return `127.${this.runNumber}.1.1:7300`;
    }

    host(name: string): Host {
        return this.hosts.find(host => host.name === name)!;
    }

    /** Starts a host's daemon; `overrides` replaces fields of its settings. */
    startDaemon(name: string, overrides: object = {}): Child {
        const { script = DAEMON_SCRIPT, nodeFlags, maxDescriptors, settings } = this.options;
        const child = new Child(script, [], line => this.log.push(line), {
            env: { WINGLOCK_BOOT: this.#settings(this.host(name), { ...settings, ...overrides }) },
            nodeFlags,
            maxDescriptors,
        });
        this.daemons.set(name, child);
        return child;
    }

    /** Starts a host's instance, which exits when it runs a request with the path `crashPath`. */
    startInstance(name: string, id: string, crashPath = ""): Child {
        const { ip, service } = this.host(name);
        const { announceEveryMs, slots = DEFAULT_SLOTS } = this.options;
        const args = [
            id,
            service,
            `${ip}:7200`,
            String(slots),
            `${ip}:7106`,
            crashPath,
            ...announceEveryMs ? [String(announceEveryMs)] : [],
        ];
        const child = new Child(scriptPath("standin/instancemain.js"), args, line => this.#recordInstanceLine(line));
        this.instances.set(name, child);
        return child;
    }

    #recordInstanceLine(line: string): void {
        this.instanceLines.push(line);
        const id = /^R (.+)$/.exec(line)?.[1];
        if (id !== undefined && !this.runStartedAt.has(id)) {
            this.runStartedAt.set(id, performance.now());
        }
    }

    /** Writes a configuration to the store as the platform's operators do, over a new connection. */
    configure(configuration: object): Promise<void> {
        return this.putAsOperator("op/config", JSON.stringify(configuration));
    }

    /** Evacuates a hall as the platform's operators do: no new requests go to its upstreams. */
    evacuate(hall: string, body = "{}"): Promise<void> {
        return this.putAsOperator(`op/evacuate/${hall}`, body);
    }

    /** Ends the evacuation of a hall. */
    readmit(hall: string): Promise<void> {
        return this.#writeAsOperator({ remove: [`op/evacuate/${hall}`] });
    }

    putAsOperator(key: string, text: string): Promise<void> {
        return this.#writeAsOperator({ put: [{ key, value: Buffer.from(text).toString("base64") }] });
    }

    async #writeAsOperator(transaction: object): Promise<void> {
        const body = JSON.stringify(transaction);
        await new Promise<void>((resolve, reject) => {
            const url = `http://${this.storeAddress}/api/kv-txn`;
            const req = httpRequest(url, { method: "POST", agent: false }, res => {
                res.resume().on("end", resolve);
            });
            req.on("error", reject).end(body);
        });
    }

    controlStore(value: Partial<StoreControl>): Promise<void> {
        return control(this.storeAddress, value);
    }

    controlInstance(name: string, value: Partial<InstanceControl>): Promise<void> {
        return control(`${this.host(name).ip}:7200`, value);
    }

    /** Returns the text of a page of the operators' listener. */
    async operatorPage(name: string, path: string): Promise<string> {
        const response = await fetch(`http://${this.host(name).ip}:7105${path}`);
        return await response.text();
    }

    isReady(name: string): Promise<boolean> {
        return fetch(`http://${this.host(name).ip}:7102/readyz`).then(res => res.status === 200, () => false);
    }

    /** Sends one request to a host's daemon as a client on that host does; gives up after twice the time limit. */
    send(
        name: string,
        method: string,
        path: string,
        id: string,
        timeLimitMs = 1000,
        extraHeaders: Readonly<Record<string, string>> = {},
        agent?: Agent,
    ): Promise<PlatformResponse> {
        const headers = {
            "host": "site.example",
            "attempt-id": id,
            "deadline-ms": String(timeLimitMs),
            ...extraHeaders,
        };
        return new Promise(resolve => {
            const finish = (status: number, text: string, responseHeaders: Record<string, unknown> = {}): void =>
                resolve({ status, text, headers: responseHeaders as PlatformResponse["headers"] });
            const req = httpRequest(`http://${this.host(name).ip}:7104${path}`, { method, headers, agent }, res => {
                let text = "";
                res.setEncoding("utf8").on("data", chunk => text += chunk);
                res.on("close", () => finish(res.complete ? res.statusCode! : 0, text, res.headers));
                res.on("error", () => {});
            });
            req.setTimeout(timeLimitMs * 2, () => req.destroy());
            req.on("error", () => finish(0, ""));
            req.end(method === "GET" ? undefined : "body");
        });
    }

    /** Returns how often the instances ran the request with this id. */
    runsOf(id: string): number {
        return this.instanceLines.filter(line => line === `R ${id}`).length;
    }

    async stop(): Promise<void> {
        const children = [...this.daemons.values(), ...this.instances.values(), this.#store];
        await Promise.all(children.map(child => child.end("SIGKILL")));
        this.lock.close();
        rmSync(this.#folder, { recursive: true, force: true });
    }

    /** Rewrites the settings file of a host's daemon; the daemon reads it on SIGHUP or at its next start. */
    changeSettings(name: string, overrides: object): void {
        this.#settings(this.host(name), overrides);
    }

    #settings({ name, ip, service, hall }: Host, overrides: object = {}): string {
        const settingsFile = join(this.#folder, `${name}.json`);
        const settings = {
            host: name,
            hall,
            region: "r",
            ingress: `${ip}:7104`,
            peer: `${ip}:7100`,
            operator: `${ip}:7105`,
            upstream: `${ip}:7200`,
            announce: `${ip}:7106`,
            readiness: `${ip}:7102`,
            callerService: service,
            store: this.storeAddress,
            peerKey: "a-key-for-tests-only",
            control: { healthPerSecond: 0 },
            policy: { profile: "frugal", relief: false, limit: "learned", retryBurst: 5 },
            stop: { lingerMs: 1000, limitMs: 2000 },
            ...overrides,
        };
        writeFileSync(settingsFile, JSON.stringify(settings));
        return settingsFile;
    }
}
