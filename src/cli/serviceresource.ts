/** Defines the resource type of `winglock service`. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { number, option, optional } from "cmd-ts";
import type { ChangeSchema, Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import { Resource } from "./resource.js";
import { toPlainItem } from "./toplainitem.js";

/** Services, which are named groups of upstreams. */
export class ServiceResource extends Resource {
    readonly name = "service";
    readonly columns = ["name", "bufferBytes", "maxWaitMs", "retryRatio"];
    readonly example = "winglock service create splits --max-wait-ms 500";
    readonly flags = {
        bufferBytes: option({
            type: optional(number),
            long: "buffer-bytes",
            description: "Largest buffered response.",
        }),
        maxWaitMs: option({ type: optional(number), long: "max-wait-ms", description: "Longest time in a queue." }),
        retryRatio: option({ type: optional(number), long: "retry-ratio", description: "Share of retries, 0 to 1." }),
    };

    list(configuration: Configuration): ReturnType<Resource["list"]> {
        return configuration.services.map(toPlainItem);
    }

    put(item: { name: string; }): MessageInitShape<typeof ChangeSchema> {
        return { change: { case: "putService", value: item } };
    }

    remove(name: string): MessageInitShape<typeof ChangeSchema> {
        return { change: { case: "deleteService", value: name } };
    }
}
