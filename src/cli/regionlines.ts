/** Formats what daemons have exchanged with other regions. */
import type { UpstreamStatus } from "../gen/winglock/operator/v1/operator_pb.js";

/** Returns a line with the totals of all hosts since their daemons started, or none if nothing has crossed. */
export function regionLines(upstreams: readonly UpstreamStatus[]): string[] {
    const hosts = [...new Map(upstreams.map(line => [line.host, line])).values()];
    const total = (read: (line: UpstreamStatus) => bigint): bigint => hosts.reduce((sum, line) => sum + read(line), 0n);
    const sent = total(line => line.regionSentBytes);
    const received = total(line => line.regionReceivedBytes);
    const messages = total(line => line.regionSentMessages);
    return sent + received === 0n
        ? []
        : [`between regions: ${sent} bytes sent, ${received} received, ${messages} control messages sent`];
}
