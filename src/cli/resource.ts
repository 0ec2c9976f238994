/** What services, upstreams and rules have in common on the command line. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { command } from "cmd-ts";
import type { ChangeSchema, Configuration } from "../gen/winglock/operator/v1/operator_pb.js";

/** Values of the flags that were given, by field. */
type Fields = Record<string, unknown>;

/** One thing as a plain object with the fields of the schema. */
type Item = { name: string; } & Fields;

/** The three things that operators create, list, show, update and delete. */
export abstract class Resource {
    abstract readonly name: string;
    abstract readonly columns: readonly string[];
    abstract readonly flags: Parameters<typeof command>[0]["args"];
    abstract readonly example: string;
    /** The things of this noun in a configuration. */
    abstract list(configuration: Configuration): Item[];
    abstract put(item: Item): MessageInitShape<typeof ChangeSchema>;
    abstract remove(name: string): MessageInitShape<typeof ChangeSchema>;
}
