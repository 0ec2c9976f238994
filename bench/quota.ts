/**
 * `quota [DAEMONS TEAMS REQUESTS_PER_SECOND]`: measures the quota of teams in a mesh without network.
 *
 * Prints messages, bytes, round trips and refusals in steady state, with the largest team at 7.5 times its rate, across
 * the crash of a counter of that team, and while 35 % of the daemons are cut off singly.
 */
import { pack } from "msgpackr";
import { table } from "../src/cli/table.js";
import type { Address } from "../src/ids/address.js";
import type { TeamName } from "../src/ids/teamname.js";
import { QuotaMesh } from "../src/policy/model/quotamesh.js";
import { seededRandom } from "../standin/seededrandom.js";
import { QuotaLoad } from "./quotaload.js";

const [daemonCount = 76, teamCount = 80, requestsPerSecond = 355] = process.argv.slice(2).map(Number);
const MS_PER_SECOND = 1000;
const BOUND = { windowS: 5, overage: 0.1, slack: 20 };
/** Tag of a datagram, and the headers of IPv4 and UDP. */
const DATAGRAM_OVERHEAD = 36;
const WARM_UP_MS = 10_000;
const PERIOD_MS = 30_000;
const BURST_MS = 6000;
const CUT_MS = 8000;
const CUT_SHARE = 0.35;
const MIN_DELAY_MS = 0.5;
const MAX_DELAY_MS = 3;
const LOSS_RATIO = 0.025;

const random = seededRandom(1);
const load = new QuotaLoad({ daemonCount, teamCount, requestsPerSecond, bound: BOUND, random });
const mesh = new QuotaMesh({
    speeds: Array.from({ length: daemonCount }, () => 1 + (random() - 0.5) / 10_000),
    bound: BOUND,
    limits: load.limits,
    random,
    delayMs: () => MIN_DELAY_MS + random() * (MAX_DELAY_MS - MIN_DELAY_MS),
    lossRatio: LOSS_RATIO,
    duplicateRatio: 0,
});
const sent = new Map<Address, { messages: number; bytes: number; }>();
mesh.onMessage = (from, message) => {
    const known = sent.get(from) ?? { messages: 0, bytes: 0 };
    known.messages += 1;
    known.bytes += pack({ type: "quota-ask", from, ...message }).length + DATAGRAM_OVERHEAD;
    sent.set(from, known);
};
const rows: string[][] = [];

/** Runs a period under load and adds a row for it. */
const measure = (name: string, durationMs: number, factorOfFirst = 1): void => {
    sent.clear();
    load.reset();
    const until = mesh.now + durationMs;
    load.schedule(mesh, until, factorOfFirst);
    mesh.run(until);
    const seconds = durationMs / MS_PER_SECOND;
    const perSecond = [...sent.values()].map(({ messages, bytes }) => [messages / seconds, bytes / seconds] as const);
    const sum = (place: 0 | 1): number => perSecond.reduce((total, entry) => total + entry[place], 0) / daemonCount;
    const worst = (place: 0 | 1): number => Math.max(...perSecond.map(entry => entry[place]));
    const percent = (count: number): string => (100 * count / load.counts.requests).toFixed(2);
    rows.push([
        name,
        ...[sum(0), worst(0), sum(1), worst(1)].map(value => value.toFixed(1)),
        percent(load.counts.roundTrips),
        percent(load.counts.overQuota),
        percent(load.counts.noCounter),
        load.counts.ofOthersRefused.toString(),
        load.worstExcess.toFixed(0),
    ]);
};

mesh.run(WARM_UP_MS);
measure("warm up", WARM_UP_MS);
measure("steady", PERIOD_MS);
measure("first team at 7.5 times its rate", BURST_MS, 7.5);
measure("after it", PERIOD_MS / 2);
const status = mesh.daemons[0]!.agent!.status(mesh.clock(mesh.daemons[0]!));
const counter = status.find(({ team }) => team === "team-1" as TeamName)!.counter;
const crashed = mesh.daemons.findIndex(({ address }) => address === counter);
mesh.kill(crashed);
measure("a counter crashed", PERIOD_MS / 3);
mesh.start(crashed);
measure("it restarted", PERIOD_MS / 3);
const isCut = mesh.daemons.map(() => random() < CUT_SHARE);
mesh.connects = (from, to) => from === to || (!isCut[from] && !isCut[to]);
load.serves = index => !isCut[index];
measure("35 % cut off (at the others)", CUT_MS);
mesh.connects = () => true;
load.serves = () => true;
measure("after it", PERIOD_MS / 3);
const headers = [
    "period",
    "messages/s",
    "worst",
    "bytes/s",
    "worst",
    "round trip %",
    "429 %",
    "503 %",
    "refused, other teams",
    "excess",
];
console.log(table(headers, rows));
