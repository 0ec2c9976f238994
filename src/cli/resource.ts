/** Defines a type of resource on the command line: services, upstreams, rules or teams. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { command } from "cmd-ts";
import type { ChangeSchema, Configuration } from "../gen/winglock/operator/v1/operator_pb.js";

/** Values by field name. */
type Fields = Record<string, unknown>;

/** A resource as a plain object with the fields of the schema. */
type Item = { name: string; } & Fields;

/** Describes a type of resource that operators create, list, show, update and delete. */
export abstract class Resource {
    abstract readonly name: string;
    abstract readonly columns: readonly string[];
    /** Columns that are shown if one of the listed resources has a value there other than false. */
    readonly optionalColumns: readonly string[] = [];
    abstract readonly flags: Parameters<typeof command>[0]["args"];
    abstract readonly example: string;
    /** Returns the resources of this type in a configuration. */
    abstract list(configuration: Configuration): Item[];
    abstract put(item: Item): MessageInitShape<typeof ChangeSchema>;
    abstract remove(name: string): MessageInitShape<typeof ChangeSchema>;

    /** Returns the resource as people see it. */
    display(item: Item): Item {
        return item;
    }
}
