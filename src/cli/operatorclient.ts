/** Calls the operator API of the first daemon that responds. */
import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "../gen/winglock/operator/v1/operator_pb.js";
import { CliError } from "./clierror.js";
import { exitCode } from "./exitcode.js";

/** Exceeds the time that a daemon needs for eight attempts at a change. */
const TIMEOUT_MS = 15_000;

/** Codes after which the call is retried at the next daemon. A retry is safe because each change has an id. */
const RETRYABLE_CODES: ReadonlySet<Code> = new Set([
    Code.Unavailable,
    Code.DeadlineExceeded,
    Code.Unknown,
    Code.Internal,
    Code.Aborted,
]);

type OperatorCall<Response> = (client: Client<typeof OperatorService>) => Promise<Response>;

/** `daemons` are the operator addresses, IP:PORT, in the order in which they are called. */
export class OperatorClient {
    constructor(private readonly daemons: readonly string[]) {}

    /** Makes the call; throws a CliError if no daemon responds or the first one that responds refuses the call. */
    async call<Response>(makeCall: OperatorCall<Response>): Promise<Response> {
        const failures: string[] = [];
        for (const daemon of this.daemons) {
            try {
                return await makeCall(this.#client(daemon));
            }
            catch (err) {
                const failure = ConnectError.from(err);
                if (!RETRYABLE_CODES.has(failure.code)) {
                    throw new CliError(exitCode.invalid, failure.rawMessage);
                }
                failures.push(`${daemon}: ${failure.rawMessage}`);
            }
        }
        throw new CliError(exitCode.failed, `No daemon responded.\n${failures.join("\n")}`);
    }

    #client(daemon: string): Client<typeof OperatorService> {
        const baseUrl = `http://${daemon}`;
        return createClient(
            OperatorService,
            createConnectTransport({ baseUrl, httpVersion: "1.1", defaultTimeoutMs: TIMEOUT_MS }),
        );
    }
}
