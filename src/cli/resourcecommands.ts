/** Implements the subcommands create, list, show, update and delete for a type of resource. */
import { command, positional, string, subcommands } from "cmd-ts";
import type { Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import { changeArgs } from "./changeargs.js";
import { CliError } from "./clierror.js";
import { commonArgs } from "./commonargs.js";
import { exitCode } from "./exitcode.js";
import { getConfiguration } from "./getconfiguration.js";
import { makeChange } from "./makechange.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import type { Resource } from "./resource.js";
import { table } from "./table.js";

type FlagValues = Record<string, unknown>;

const isGiven = (value: unknown): boolean => value !== undefined && !(Array.isArray(value) && value.length === 0);

const givenFields = (resource: Resource, values: FlagValues): FlagValues => {
    const names = Object.keys(resource.flags).filter(name => isGiven(values[name]));
    return Object.fromEntries(names.map(name => [name, values[name]]));
};

const findItem = (
    resource: Resource,
    configuration: Configuration,
    name: string,
): ReturnType<Resource["list"]>[number] => {
    const item = resource.list(configuration).find(other => other.name === name);
    if (item === undefined) {
        throw new CliError(exitCode.notFound, `no ${resource.name} is named ${name}`);
    }
    return item;
};

const toCell = (value: unknown): string => Array.isArray(value) ? value.join(",") : String(value ?? "");

const isUsed = (items: readonly FlagValues[], column: string): boolean =>
    items.some(item => isGiven(item[column]) && item[column] !== false);

/** Returns the subcommands for a type of resource; `otherCommands` are added, or take the place of those of their name. */
export function resourceCommands(
    resource: Resource,
    otherCommands: Parameters<typeof subcommands>[0]["cmds"] = {},
): ReturnType<typeof subcommands> {
    const name = positional({ type: string, displayName: "name" });
    const create = command({
        name: "create",
        description: `Creates a ${resource.name}; it must be new.`,
        args: { name, ...resource.flags, ...changeArgs, ...commonArgs },
        handler: async values => {
            const client = new OperatorClient(values.daemons);
            const configuration = await getConfiguration(client);
            if (values.changeId === undefined && resource.list(configuration).some(item => item.name === values.name)) {
                throw new CliError(exitCode.invalid, `name: a ${resource.name} is named ${values.name} already`);
            }
            const item = { name: values.name, ...givenFields(resource, values) };
            await makeChange(client, [resource.put(item)], values);
        },
    });
    const update = command({
        name: "update",
        description: `Changes fields of a ${resource.name}; a conflict if another change is made in the meantime.`,
        args: { name, ...resource.flags, ...changeArgs, ...commonArgs },
        handler: async values => {
            const client = new OperatorClient(values.daemons);
            const configuration = await getConfiguration(client);
            const item = { ...findItem(resource, configuration, values.name), ...givenFields(resource, values) };
            const base = values.base ?? Number(configuration.revision);
            await makeChange(client, [resource.put(item)], { ...values, base });
        },
    });
    const list = command({
        name: "list",
        description: `Lists all ${resource.name}s.`,
        args: commonArgs,
        handler: async ({ daemons, json }) => {
            const items = resource.list(await getConfiguration(new OperatorClient(daemons))).map(item =>
                resource.display(item)
            );
            const columns = [...resource.columns, ...resource.optionalColumns.filter(column => isUsed(items, column))];
            const rows = items.map(item => columns.map(column => toCell(item[column])));
            output(json, items, table(columns, rows));
        },
    });
    const show = command({
        name: "show",
        description: `Shows one ${resource.name}.`,
        args: { name, ...commonArgs },
        handler: async values => {
            const configuration = await getConfiguration(new OperatorClient(values.daemons));
            const item = resource.display(findItem(resource, configuration, values.name));
            output(values.json, item, JSON.stringify(item, undefined, 4));
        },
    });
    const remove = command({
        name: "delete",
        description: `Deletes a ${resource.name}.`,
        args: { name, ...changeArgs, ...commonArgs },
        handler: async values => {
            await makeChange(new OperatorClient(values.daemons), [resource.remove(values.name)], values);
        },
    });
    return subcommands({
        name: resource.name,
        description: `Creates, lists, shows, updates and deletes ${resource.name}s. Example: ${resource.example}`,
        cmds: { create, list, show, update, delete: remove, ...otherCommands },
    }) as unknown as ReturnType<typeof subcommands>;
}
