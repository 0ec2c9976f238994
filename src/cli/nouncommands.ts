/** create, list, show, update and delete of one noun. */
import { command, positional, string, subcommands } from "cmd-ts";
import type { Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import { changeArgs } from "./changeargs.js";
import { CliError } from "./clierror.js";
import { commonArgs } from "./commonargs.js";
import { exitCode } from "./exitcode.js";
import { getConfiguration } from "./getconfiguration.js";
import { makeChange } from "./makechange.js";
import type { Noun } from "./noun.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import { table } from "./table.js";

type Values = Record<string, unknown>;

const isGiven = (value: unknown): boolean => value !== undefined && !(Array.isArray(value) && value.length === 0);

const givenFields = (noun: Noun, values: Values): Values => {
    const names = Object.keys(noun.flags).filter(name => isGiven(values[name]));
    return Object.fromEntries(names.map(name => [name, values[name]]));
};

const findItem = (noun: Noun, configuration: Configuration, name: string): ReturnType<Noun["list"]>[number] => {
    const item = noun.list(configuration).find(other => other.name === name);
    if (item === undefined) {
        throw new CliError(exitCode.notFound, `no ${noun.name} is named ${name}`);
    }
    return item;
};

const cell = (value: unknown): string => Array.isArray(value) ? value.join(",") : String(value ?? "");

/** The subcommand tree of one noun. */
export function nounCommands(noun: Noun): ReturnType<typeof subcommands> {
    const name = positional({ type: string, displayName: "name" });
    const create = command({
        name: "create",
        description: `Creates a ${noun.name}; it must be new.`,
        args: { name, ...noun.flags, ...changeArgs, ...commonArgs },
        handler: async values => {
            const client = new OperatorClient(values.daemons);
            const configuration = await getConfiguration(client);
            if (values.changeId === undefined && noun.list(configuration).some(item => item.name === values.name)) {
                throw new CliError(exitCode.invalid, `name: a ${noun.name} is named ${values.name} already`);
            }
            const item = { name: values.name, ...givenFields(noun, values) };
            await makeChange(client, [noun.put(item)], values);
        },
    });
    const update = command({
        name: "update",
        description: `Changes fields of a ${noun.name}; a conflict if another change comes between.`,
        args: { name, ...noun.flags, ...changeArgs, ...commonArgs },
        handler: async values => {
            const client = new OperatorClient(values.daemons);
            const configuration = await getConfiguration(client);
            const item = { ...findItem(noun, configuration, values.name), ...givenFields(noun, values) };
            const base = values.base ?? Number(configuration.revision);
            await makeChange(client, [noun.put(item)], { ...values, base });
        },
    });
    const list = command({
        name: "list",
        description: `Lists all ${noun.name}s.`,
        args: commonArgs,
        handler: async ({ daemons, json }) => {
            const items = noun.list(await getConfiguration(new OperatorClient(daemons)));
            const rows = items.map(item => noun.columns.map(column => cell(item[column])));
            output(json, items, table(noun.columns, rows));
        },
    });
    const show = command({
        name: "show",
        description: `Shows one ${noun.name}.`,
        args: { name, ...commonArgs },
        handler: async values => {
            const item = findItem(noun, await getConfiguration(new OperatorClient(values.daemons)), values.name);
            output(values.json, item, JSON.stringify(item, undefined, 4));
        },
    });
    const remove = command({
        name: "delete",
        description: `Deletes a ${noun.name}.`,
        args: { name, ...changeArgs, ...commonArgs },
        handler: async values => {
            await makeChange(new OperatorClient(values.daemons), [noun.remove(values.name)], values);
        },
    });
    return subcommands({
        name: noun.name,
        description: `Creates, lists, shows, updates and deletes ${noun.name}s. Example: ${noun.example}`,
        cmds: { create, list, show, update, delete: remove },
    }) as unknown as ReturnType<typeof subcommands>;
}
