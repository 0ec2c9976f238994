// Posts requests that may run once while instances refuse a part of them (srv_grey, shed) and send second copies of some
// answers, late (garble, extra late). Then compares what clients were told with what the instances ran.
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { BOUNDS, Mesh, wait } from "../lib/mesh.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const SECONDS = 56;
const REQUESTS_PER_S = 150;
const DEADLINE_MS = 3000;
/** All instances refuse 0.15 of their requests; three of five send late copies of 0.03 of their answers. */
const SHED = 0.15;
const COPIES = 0.03;
const COPYING = ["m-1", "m-2", "m-3"];
/** The disruptions last for 5 s and strike again 2 s later. */
const TROUBLE_MS = 5000;
const PAUSE_MS = 2000;

const machines = ["hsinchu-a", "hsinchu-a", "hsinchu-b", "hsinchu-b", "hsinchu-c"]
    .map((hall, index) => ({ name: `m-${index + 1}`, hall, service: "engraver", instance: { slots: 18, queue: 36 } }));
const configuration = {
    revision: 1,
    services: [{ name: "engraver", healthPath: "/health", connections: 260 }],
    rules: [{
        name: "engrave-commission", host: "site.example", pathPrefix: "/editions/", kind: "once", service: "engraver",
        timeLimitMs: DEADLINE_MS, targetMs: 800, maxTries: 3, priority: 1,
    }],
    limits: { headerBytes: 16384, bodyBytes: 65536, headersTimeoutMs: 3000, keepAliveMs: 15000 },
};

const main = async () => {
    const mesh = await Mesh.start({ machines, configuration, bounds: { ...BOUNDS, budgetSlack: 62 } });
    try {
        const request = { method: "POST", path: "/editions/1", deadlineMs: DEADLINE_MS, body: "score" };
        const servers = answers => new Set(answers.map(({ headers }) => String(headers["server-signature"]).split(".")[0]));
        await mesh.waitUntilServing(request, answers => servers(answers).size >= 3);
        const disruptions = hasTrouble ? disrupt(mesh) : undefined;
        const sent = [];
        const begun = performance.now();
        for (let index = 0; index < SECONDS * REQUESTS_PER_S; index++) {
            await wait(Math.max(0, begun + index * 1000 / REQUESTS_PER_S - performance.now()));
            const attempt = `post-${index}`;
            const machine = mesh.machines[index % mesh.machines.length];
            sent.push(mesh.send(machine, { ...request, attempt }).then(answer => ({ attempt, machine: machine.name, ...answer })));
        }
        const answers = await Promise.all(sent);
        await disruptions;
        await wait(1000);
        return judge(answers, mesh);
    }
    finally {
        await mesh.stop();
    }
};

const disrupt = async mesh => {
    for (let elapsedMs = 0; elapsedMs < SECONDS * 1000; elapsedMs += TROUBLE_MS + PAUSE_MS) {
        mesh.machines.forEach(machine =>
            mesh.disrupt(machine, {
                shed: SHED,
                copies: COPYING.includes(machine.name) ? COPIES : 0,
            }));
        await wait(TROUBLE_MS);
        mesh.machines.forEach(machine => mesh.disrupt(machine, { shed: 0, copies: 0 }));
        await wait(PAUSE_MS);
    }
};

const judge = (answers, { events, daemonErrors }) => {
    const runs = new Map();
    events.filter(({ event }) => event === "run").forEach(({ attempt, instance }) =>
        runs.set(attempt, [...runs.get(attempt) ?? [], instance]));
    const promises = [408, 421, 429, 503];
    const twice = answers.filter(({ attempt }) => (runs.get(attempt)?.length ?? 0) > 1);
    const refused = answers.filter(({ attempt, status }) => promises.includes(status) && runs.has(attempt));
    const statuses = {};
    answers.forEach(({ status }) => statuses[status] = (statuses[status] ?? 0) + 1);
    const copies = events.filter(({ event }) => event === "copy");
    const copiesOfRefusals = copies.filter(({ status }) => status === 503);
    const describe = ({ attempt, status, machine }) => [
        `${attempt} by a client of ${machine}, answered ${status}:`,
        ...events.filter(event => event.attempt === attempt || event.before === attempt)
            .map(event => `    ${JSON.stringify(event)}`),
    ].join("\n");
    const lines = [
        `trouble: ${hasTrouble ? "yes" : "no"}`,
        `requests: ${answers.length}; answers by status (0: none): ${JSON.stringify(statuses)}`,
        `runs: ${[...runs.values()].flat().length}; refusals by instances: ${events.filter(({ event }) => event === "refuse").length}`,
        `late second copies: ${copies.length}, of these copies of a refusal: ${copiesOfRefusals.length}`,
        `TWICE, run more than once: ${twice.length}`,
        `REFUSED, answered with a promise though run: ${refused.length}`,
        "",
        ...twice.slice(0, 10).map(describe),
        ...refused.slice(0, 10).map(describe),
        "",
        ...daemonErrors.slice(0, 20),
        "",
        "All answers (attempt, status) and all runs (attempt, instances):",
        answers.map(({ attempt, status }) => `${attempt} ${status}`).join("; "),
        [...runs].map(([attempt, instances]) => `${attempt} ${instances.join("+")}`).join("; "),
    ];
    writeFileSync(fileURLToPath(new URL("record.txt", import.meta.url)), `${lines.join("\n")}\n`);
    console.log(lines.slice(0, 6).join("\n"));
    return twice.length + refused.length > 0 ? 1 : 0;
};

main().then(status => process.exit(status), err => {
    console.error(err);
    process.exit(2);
});
