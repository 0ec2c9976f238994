// Stops daemons in turn with SIGTERM while clients beside them post requests that may run once and take two to three
// seconds. Each client's platform asks for readiness once a second and sends no new work after two misses.
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { BOUNDS, Mesh, PORTS, wait } from "../lib/mesh.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** The bounds, the deadline and the work of `result-post` in the deployment behoun-cz-large. */
const bounds = { ...BOUNDS, contactMs: 4000, ackMs: 5000, catchUpS: 6, drainMs: 3000, graceS: 10, configApplyMs: 3000, maxStretchMs: 6000, budgetSlack: 430 };
const DEADLINE_MS = 4000;
/** The work of a request is 0.7 to 1.3 times this; the site file allows up to 4,100 ms. */
const WORK_MS = 2300;
const SEND_EVERY_MS = 100;
const BEFORE_MS = 5000;

const machines = [
    ...["praha-a", "praha-b", "praha-c", "praha-d"].map((hall, index) => ({
        name: `results-${index + 1}`, hall, service: "results", instance: { slots: 12, queue: 24, workMs: WORK_MS },
    })),
    ...["praha-a", "praha-b", "praha-c"].map((hall, index) => ({ name: `splits-${index + 1}`, hall, service: "splits" })),
];
const rule = (name, kind, service) => ({
    name, host: "site.example", pathPrefix: `/${service}/`, kind, service,
    timeLimitMs: DEADLINE_MS, targetMs: 1500, maxTries: 3, priority: 1,
});
const configuration = {
    revision: 1,
    services: ["results", "splits"].map(name => ({ name, healthPath: "/health", connections: 2400 })),
    rules: [rule("result-post", "once", "results"), rule("split-view", "repeatable", "splits")],
    limits: { headerBytes: 16384, bodyBytes: 65536, headersTimeoutMs: 3000, keepAliveMs: 15000 },
};

const now = () => Math.round(performance.timeOrigin + performance.now());
const isReady = ({ ip }) =>
    fetch(`http://${ip}:${PORTS.ready}/readyz`, { signal: AbortSignal.timeout(900) }).then(({ status }) => status === 200, () => false);

/** Sends posts through the daemon until the platform has found it not ready twice; stops it after a while. */
const stopOne = async (mesh, machine, answers) => {
    let misses = 0;
    const poll = setInterval(async () => misses = await isReady(machine) ? 0 : misses + 1, 1000);
    const pending = [];
    const begun = performance.now();
    let stoppedAt;
    for (let index = 0; misses < 2 && performance.now() - begun < BEFORE_MS + 4000; index++) {
        if (hasTrouble && stoppedAt === undefined && performance.now() - begun >= BEFORE_MS) {
            stoppedAt = now();
            machine.daemon.kill("SIGTERM");
        }
        const attempt = `post-${machine.name}-${index}`;
        pending.push(
            mesh.send(machine, { method: "POST", path: "/results/1", deadlineMs: DEADLINE_MS, attempt, body: "final" })
                .then(answer => answers.push({ attempt, machine: machine.name, answeredAt: now(), stoppedAt, ...answer })),
        );
        await wait(SEND_EVERY_MS);
    }
    clearInterval(poll);
    await Promise.all(pending);
    if (hasTrouble) {
        const limit = wait(bounds.graceS * 1000).then(() => machine.daemon.kill("SIGKILL"));
        machine.exit = { ...await machine.daemon.ended, at: now() };
        void limit;
    }
};

const main = async () => {
    const mesh = await Mesh.start({ machines, configuration, bounds });
    try {
        await mesh.waitUntilServing(
            { method: "GET", path: "/splits/1", deadlineMs: DEADLINE_MS, body: undefined },
            answers => new Set(answers.map(({ headers }) => headers["server-signature"]?.split(".")[0])).size >= 2,
        );
        await wait(4000);
        const answers = [];
        for (const machine of mesh.machines.filter(({ service }) => service === "splits")) {
            await stopOne(mesh, machine, answers);
        }
        await wait(4000);
        return judge(answers, mesh);
    }
    finally {
        await mesh.stop();
    }
};

const judge = (answers, { events, machines: all, daemonErrors }) => {
    const find = (event, attempt) => events.find(other => other.event === event && other.attempt === attempt);
    const lastSixthMs = bounds.graceS * 1000 * 5 / 6;
    const lost = answers.filter(({ attempt, status, stoppedAt, answeredAt }) => {
        const end = find("end", attempt);
        return status === 0 && stoppedAt !== undefined && find("run", attempt) !== undefined && end !== undefined
            && answeredAt - stoppedAt < bounds.graceS * 1000 + 1000
            && end.t - stoppedAt < lastSixthMs;
    });
    const statuses = {};
    answers.forEach(({ status }) => statuses[status] = (statuses[status] ?? 0) + 1);
    const describe = ({ attempt, sentAt, answeredAt, stoppedAt }) =>
        `${attempt}: sent ${sentAt - stoppedAt} ms after SIGTERM, run from ${find("run", attempt).t - stoppedAt}`
        + ` to ${find("end", attempt).t - stoppedAt} by ${find("run", attempt).instance};`
        + ` connection closed without an answer at ${answeredAt - stoppedAt}`;
    const lines = [
        `trouble: ${hasTrouble ? "yes" : "no"}`,
        `requests: ${answers.length}; answers by status (0: connection closed without a complete answer): ${JSON.stringify(statuses)}`,
        `LOST, read and passed on, closed without an answer around a SIGTERM: ${lost.length}`,
        ...all.filter(({ exit }) => exit).map(({ name, exit }) => `daemon of ${name} exited with ${exit.code}`),
        "",
        ...lost.map(describe),
        "",
        ...daemonErrors.slice(0, 20),
        "",
        "All answers (attempt, status, sent and ended in ms after the SIGTERM of the daemon, if there was one before):",
        ...answers.map(({ attempt, status, sentAt, answeredAt, stoppedAt }) =>
            `${attempt} ${status} ${stoppedAt === undefined ? "" : `${sentAt - stoppedAt} ${answeredAt - stoppedAt}`}`),
    ];
    writeFileSync(fileURLToPath(new URL("record.txt", import.meta.url)), `${lines.join("\n")}\n`);
    console.log(lines.slice(0, 8).join("\n"));
    return lost.length > 0 ? 1 : 0;
};

main().then(status => process.exit(status), err => {
    console.error(err);
    process.exit(2);
});
