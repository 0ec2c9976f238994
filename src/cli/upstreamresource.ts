/** `winglock upstream`. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { number, option, optional, string } from "cmd-ts";
import type { ChangeSchema, Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import { Resource } from "./resource.js";
import { toPlainItem } from "./toplainitem.js";

const textOption = (
    long: string,
    description: string,
): ReturnType<typeof option<ReturnType<typeof optional<typeof string>>>> =>
    option({ type: optional(string), long, description });

/** One instance of a service. */
export class UpstreamResource extends Resource {
    readonly name = "upstream";
    readonly columns = ["name", "service", "host", "hall", "address", "gate", "slots", "draining"];
    readonly example = "winglock upstream create splits-1 --service splits --host h1 --address 10.0.0.1:8080"
        + " --gate 10.0.0.1:7100 --hall a --region prague --slots 12";
    readonly flags = {
        service: textOption("service", "Its service."),
        host: textOption("host", "Its host, as the platform lists it."),
        address: textOption("address", "Where it listens, IP:PORT."),
        gate: textOption("gate", "Where the daemon beside it listens for peers, IP:PORT."),
        hall: textOption("hall", "Its data hall."),
        region: textOption("region", "Its region."),
        slots: option({ type: optional(number), long: "slots", description: "Requests that it serves at once." }),
        connections: option({ type: optional(number), long: "connections", description: "Connections it takes." }),
    };

    list(configuration: Configuration): ReturnType<Resource["list"]> {
        return configuration.upstreams.map(toPlainItem);
    }

    put(item: { name: string; }): MessageInitShape<typeof ChangeSchema> {
        return { change: { case: "putUpstream", value: item } };
    }

    remove(name: string): MessageInitShape<typeof ChangeSchema> {
        return { change: { case: "deleteUpstream", value: name } };
    }
}
