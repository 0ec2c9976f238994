/** Calls peers with tRPC; every call has a timeout. */
import { createTRPCClient, type TRPCClient } from "@trpc/client";
import type { Socket } from "node:net";
import { Agent, buildConnector, Pool } from "undici";
import type { ConfigurationUpdate } from "../config/configurationupdate.js";
import { parse } from "../config/parse.js";
import { headerName } from "../dialect/headername.js";
import { HttpClient } from "../http/httpclient.js";
import type { Address } from "../ids/address.js";
import { splitAddress } from "../ids/splitaddress.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import { log } from "../log/log.js";
import { CrashChanges } from "../wire/crashchanges.js";
import { Member } from "../wire/member.js";
import { RecordChanges } from "../wire/recordchanges.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import { callLink } from "./calllink.js";
import type { GateStatus } from "./gatestatus.js";
import type { PeerOptions } from "./peeroptions.js";
import type { peerRouter } from "./peerrouter.js";
import type { PeerService } from "./peerservice.js";
import { readJsonBody } from "./readjsonbody.js";
import type { RevokeInput } from "./revokeinput.js";
import type { Transfer } from "./transfer.js";

/** Longest time without a byte of the response, and for most calls the time limit as a whole. */
const CALL_TIMEOUT_MS = 1000;
/** Time limit of a call whose response may be a whole configuration; over a slow link it takes seconds. */
const UPDATE_TIMEOUT_MS = 10_000;
/** Several times the round trip between data halls. */
const CONNECT_TIMEOUT_MS = 500;
/** Short, since a caller is waiting for its response meanwhile. */
const REVOKE_TIMEOUT_MS = 300;

const REQUEST_HEADERS = { "content-type": "application/json", "accept-encoding": "gzip" };

const logger = log("peer");

type Client = TRPCClient<typeof peerRouter>;

const createClient = (origin: URL, options: object): HttpClient => new HttpClient(origin, options);

/** Calls any peer, and owns the connections for these calls. */
export class PeerClient {
    #agent: Agent;
    readonly #clients = new Map<Address, Client>();

    constructor(private readonly options: PeerOptions) {
        this.#agent = this.#makeAgent();
    }

    /** Makes later calls use new connections: the old ones may be unresponsive. Pending calls complete or time out. */
    renewConnections(): void {
        const oldAgent = this.#agent;
        this.#agent = this.#makeAgent();
        oldAgent.close().catch((err: unknown) => logger.warn("Closing the old connections to peers failed.", err));
    }

    hello(address: Address): Promise<ReturnType<PeerService["hello"]>> {
        return this.#client(address).hello.query(undefined, this.#timeout());
    }

    /** Revokes a request at its gate; resolves with `unknown` if the gate does not respond. */
    async revoke(address: Address, input: RevokeInput): Promise<RevokeResult> {
        try {
            return await this.#client(address).revoke.mutate(input, this.#timeout(REVOKE_TIMEOUT_MS));
        }
        catch (err) {
            logger.warn("A gate did not respond to a revocation; whether the request has run is unknown.", err, {
                peer: address,
            });
            return "unknown";
        }
    }

    /**
     * Resolves with the peer's changes of the configuration since the revision `have`, or undefined if it has none.
     * `transfer` observes the response.
     */
    async update(address: Address, have: number, transfer: Transfer): Promise<ConfigurationUpdate | undefined> {
        const options = { ...this.#timeout(UPDATE_TIMEOUT_MS), context: { transfer } };
        return await this.#client(address).update.query({ have }, options) as ConfigurationUpdate | undefined;
    }

    /** Resolves with the peer's own record. */
    async member(address: Address): Promise<Member> {
        return parse(Member, await this.#client(address).member.query(undefined, this.#timeout()));
    }

    /** Resolves with the changes of the peer's member list since a position, or with the whole list. */
    async records(address: Address, have: RecordsPosition | undefined): Promise<RecordChanges> {
        return parse(RecordChanges, await this.#client(address).records.query({ have }, this.#timeout()));
    }

    /** Exchanges changed crash records: sends those of this daemon, and resolves with those of the peer. */
    async crashes(address: Address, changes: CrashChanges): Promise<CrashChanges> {
        return parse(CrashChanges, await this.#client(address).crashes.mutate(changes, this.#timeout()));
    }

    status(address: Address): Promise<GateStatus[]> {
        return this.#client(address).status.query(undefined, this.#timeout());
    }

    close(): Promise<void> {
        return this.#agent.destroy();
    }

    #makeAgent(): Agent {
        const { localIp: localAddress, onSocket } = this.options;
        const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
        return new Agent({
            connections: 2,
            localAddress,
            factory: (origin, poolOptions) => new Pool(origin, { ...poolOptions, factory: createClient }),
            connect: (target, callback) =>
                connect(target, (...result) => {
                    // A failed connection passes an error alone, contrary to the types, which state null.
                    const socket = result[1] as Socket | null | undefined;
                    if (socket) {
                        onSocket?.(socket, target.hostname);
                    }
                    callback(...result);
                }),
        });
    }

    #timeout(timeoutMs = CALL_TIMEOUT_MS): { signal: AbortSignal; } {
        return { signal: AbortSignal.timeout(timeoutMs) };
    }

    #client(address: Address): Client {
        const known = this.#clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const { ip } = splitAddress(address);
        const client = createTRPCClient<typeof peerRouter>({
            links: [callLink(async (call, signal, transfer) => {
                this.options.onCall?.(ip);
                const { body, headers } = await this.#agent.request({
                    origin: `http://${address}`,
                    ...call,
                    headers: { ...REQUEST_HEADERS, [headerName.key]: this.options.key },
                    headersTimeout: CALL_TIMEOUT_MS,
                    bodyTimeout: CALL_TIMEOUT_MS,
                    signal,
                });
                transfer.recordResponse();
                return await readJsonBody(body, headers["content-encoding"], transfer);
            })],
        });
        this.#clients.set(address, client);
        return client;
    }
}
