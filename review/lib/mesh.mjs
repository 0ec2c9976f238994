// Starts a small deployment on loopback addresses: the daemons with the run line of deploy/system.toml and settings from
// its template, a stand-in of the store, and one instance beside each daemon. Ends every process that it started.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../", import.meta.url));
const libFile = name => fileURLToPath(new URL(name, import.meta.url));
export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));
export const PORTS = { inbound: 8300, app: 8301, ready: 8302, outbound: 8304, control: 8306, store: 8309, internal: 7620 };

/** The bounds of behoun-cz and hoac-mesh, and but for `budgetSlack` those of yushan-score. */
export const BOUNDS = {
    seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200,
    configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10,
    budgetSlack: 58, recoveryS: 15, probesPerS: 60,
};

const lookUp = (fields, path) => path.split(".").reduce((value, name) => value?.[name], fields);

/** Fills the template as DEPLOY.md describes it, as far as deploy/settings.json uses it. */
const fill = (template, fields) =>
    template
        .replace(/\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g, (_all, type, path, text) => {
            const value = lookUp(fields, path);
            const isThere = value !== undefined && value !== false;
            return isThere === (type === "#") ? text : "";
        })
        .replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(lookUp(fields, path) ?? ""));

const isFree = (ip, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });

const pickNetwork = async () => {
    for (;;) {
        const part = () => 2 + Math.floor(Math.random() * 250);
        const network = `127.${part()}.${part()}`;
        if (await isFree(`${network}.1`, PORTS.store)) {
            return network;
        }
    }
};

export class Mesh {
    processes = new Set();
    events = [];
    daemonErrors = [];
    folder = mkdtempSync(join(tmpdir(), "winglock-review-"));

    /** `machines`: a list of { name, hall, service, instance }, where `instance` are options of instance.mjs. */
    static async start({ machines, configuration, bounds = BOUNDS }) {
        const mesh = new Mesh();
        mesh.network = await pickNetwork();
        mesh.bounds = bounds;
        mesh.store = `${mesh.network}.1:${PORTS.store}`;
        mesh.machines = machines.map((machine, index) => ({ ...machine, ip: `${mesh.network}.${10 + index}` }));
        try {
            await mesh.spawn([process.execPath, libFile("store.mjs"), mesh.store]).ready;
            await mesh.configure(configuration);
            mesh.machines.forEach(machine => mesh.startDaemon(machine));
            mesh.machines.forEach(machine => mesh.startInstance(machine));
            await Promise.all(mesh.machines.flatMap(({ daemon, app }) => [daemon.ready, app.ready]));
            return mesh;
        }
        catch (err) {
            await mesh.stop();
            throw err;
        }
    }

    spawn([command, ...args], { env = {}, onLine = () => {}, onError = () => {} } = {}) {
        const child = spawn(command, args, { cwd: root, env: { ...process.env, ...env }, stdio: ["pipe", "pipe", "pipe"] });
        child.stdin.on("error", () => {});
        this.processes.add(child);
        child.ended = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
        void child.ended.then(() => this.processes.delete(child));
        child.ready = new Promise((resolve, reject) => {
            createInterface({ input: child.stdout }).on("line", line => {
                if (line === "ready" || line.includes("The daemon is up.")) {
                    resolve();
                }
                else {
                    onLine(line);
                }
            });
            void child.ended.then(({ code, signal }) => reject(new Error(`${args.at(-1)} ended: ${code} ${signal}`)));
        });
        child.ready.catch(() => {});
        createInterface({ input: child.stderr }).on("line", onError);
        return child;
    }

    settingsOf({ name, hall, service, ip }) {
        const fields = {
            nodeName: name,
            hall,
            region: "here",
            ip,
            service,
            listen: Object.fromEntries(["inbound", "outbound", "ready", "control"].map(use => [use, `${ip}:${PORTS[use]}`])),
            internalPortRange: [PORTS.internal, PORTS.internal + 15],
            appAddr: `${ip}:${PORTS.app}`,
            platform: { address: this.store },
            bounds: this.bounds,
        };
        const file = join(this.folder, `${name}.json`);
        const template = readFileSync(join(root, "deploy/settings.json"), "utf8");
        writeFileSync(file, JSON.stringify(JSON.parse(fill(template, fields))));
        return file;
    }

    startDaemon(machine) {
        const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1];
        machine.daemon = this.spawn(run.split(" "), {
            env: { WINGLOCK_BOOT: this.settingsOf(machine) },
            onLine: line => process.env.KEEP_LOGS && this.events.push({ log: line, machine: machine.name }),
            onError: line => this.daemonErrors.push(`${machine.name}: ${line}`),
        });
        return machine.daemon;
    }

    startInstance(machine, changes = {}) {
        const { name, hall, service, ip, instance } = machine;
        const options = {
            id: `i-${name}`, service, ip, port: PORTS.app, hall, slots: 12, queue: 24, workMs: 40,
            announce: `${ip}:${PORTS.control}`, beatMs: 1500, ...instance, ...changes,
        };
        machine.app = this.spawn([process.execPath, libFile("instance.mjs"), JSON.stringify(options)], {
            onLine: line => this.events.push(JSON.parse(line)),
            onError: line => this.daemonErrors.push(`instance of ${name}: ${line}`),
        });
        return machine.app;
    }

    disrupt(machine, disruption) {
        machine.app.stdin.write(`${JSON.stringify(disruption)}\n`);
    }

    configure(configuration) {
        return this.write({ put: [{ key: "op/config", value: Buffer.from(JSON.stringify(configuration)).toString("base64") }] });
    }

    write(transaction) {
        return new Promise((resolve, reject) => {
            const req = httpRequest(`http://${this.store}/api/kv-txn`, { method: "POST", agent: false }, res => {
                res.resume().on("end", resolve);
            });
            req.on("error", reject).end(JSON.stringify(transaction));
        });
    }

    /** Sends one request as a client on the machine does; resolves with the status (0: no complete answer) and the text. */
    send(machine, { method, path, attempt, deadlineMs, body, agent = false }) {
        const sentAt = Math.round(performance.timeOrigin + performance.now());
        const headers = { host: "site.example", "attempt-id": attempt, "deadline-ms": String(deadlineMs) };
        return new Promise(resolve => {
            const end = (status, text = "", fields = {}) => resolve({ status, text, headers: fields, sentAt });
            const options = { host: machine.ip, port: PORTS.outbound, method, path, headers, agent };
            const req = httpRequest(options, res => {
                let text = "";
                res.setEncoding("utf8").on("data", chunk => text += chunk);
                res.on("error", () => {});
                res.on("close", () => end(res.complete ? res.statusCode : 0, text, res.headers));
            });
            req.setTimeout(deadlineMs + 1000, () => req.destroy());
            req.on("error", () => end(0)).end(body);
        });
    }

    /** Resolves once each daemon serves `request` through all instances of its service. */
    async waitUntilServing(request, isEnough, limitMs = 20_000) {
        const endsAt = performance.now() + limitMs;
        for (const machine of this.machines) {
            for (let round = 0; ; round++) {
                const answers = await Promise.all(
                    Array.from({ length: 24 }, (_, index) =>
                        this.send(machine, { ...request, attempt: `warm-${machine.name}-${round}-${index}` })),
                );
                if (answers.every(({ status }) => status === 200) && isEnough(answers)) {
                    break;
                }
                if (performance.now() > endsAt) {
                    throw new Error(`${machine.name} does not serve: ${answers.map(({ status }) => status).join()}`);
                }
                await wait(200);
            }
        }
    }

    async stop() {
        const processes = [...this.processes];
        processes.forEach(child => child.kill("SIGKILL"));
        await Promise.all(processes.map(child => child.ended));
        rmSync(this.folder, { recursive: true, force: true });
    }
}
