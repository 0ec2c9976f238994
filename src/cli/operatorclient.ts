/** Calls the first daemon that answers. */
import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "../gen/winglock/operator/v1/operator_pb.js";
import { CliError } from "./clierror.js";
import { exitCode } from "./exitcode.js";

/** Longer than a change takes that a daemon tries eight times; milliseconds. */
const TIMEOUT_MS = 15_000;

/** Codes after which another daemon may do better; a change carries an id, so asking again is safe. */
const RETRYABLE_CODES: ReadonlySet<Code> = new Set([
    Code.Unavailable,
    Code.DeadlineExceeded,
    Code.Unknown,
    Code.Internal,
    Code.Aborted,
]);

type OperatorCall<Answer> = (client: Client<typeof OperatorService>) => Promise<Answer>;

/** Knows the daemons' operator addresses, IP:PORT. */
export class OperatorClient {
    constructor(private readonly daemons: readonly string[]) {}

    /** Makes the call; throws a CliError when no daemon answers or the first that does refuses. */
    async call<Answer>(makeCall: OperatorCall<Answer>): Promise<Answer> {
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
        throw new CliError(exitCode.failed, `No daemon answered.\n${failures.join("\n")}`);
    }

    #client(daemon: string): Client<typeof OperatorService> {
        const baseUrl = `http://${daemon}`;
        return createClient(
            OperatorService,
            createConnectTransport({ baseUrl, httpVersion: "1.1", defaultTimeoutMs: TIMEOUT_MS }),
        );
    }
}
