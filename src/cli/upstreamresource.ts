/** Defines the resource type of `winglock upstream`. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { number, option, optional, string } from "cmd-ts";
import type { ChangeSchema, Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import { Resource } from "./resource.js";
import { toPlainItem } from "./toplainitem.js";

const stringOption = (
    long: string,
    description: string,
): ReturnType<typeof option<ReturnType<typeof optional<typeof string>>>> =>
    option({ type: optional(string), long, description });

/** Upstreams, each of which is an instance of a service. */
export class UpstreamResource extends Resource {
    readonly name = "upstream";
    readonly columns = ["name", "service", "host", "hall", "address", "gate", "slots", "draining"];
    readonly example = "winglock upstream create splits-1 --service splits --host h1 --address 10.0.0.1:8080"
        + " --gate 10.0.0.1:7100 --hall a --region prague --slots 12";
    readonly flags = {
        service: stringOption("service", "Its service."),
        host: stringOption("host", "Its host, as the platform lists it."),
        address: stringOption("address", "The address that it listens on, IP:PORT."),
        gate: stringOption("gate", "The peer address of the daemon on its host, IP:PORT."),
        hall: stringOption("hall", "Its data hall."),
        region: stringOption("region", "Its region."),
        slots: option({ type: optional(number), long: "slots", description: "Requests that it serves concurrently." }),
        connections: option({ type: optional(number), long: "connections", description: "Connections it accepts." }),
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
