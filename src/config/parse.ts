/** Validates external data against a schema. */
import type { z } from "zod";
import { ConfigError } from "./configerror.js";
import type { Issue } from "./issue.js";

/** Limits how much of an invalid value an error message shows. */
const MAX_VALUE_CHARS = 80;

const valueAt = (input: unknown, path: readonly PropertyKey[]): unknown =>
    path.reduce<unknown>(
        (value, key) => value === undefined || value === null ? undefined : (value as never)[key],
        input,
    );

const formatValue = (value: unknown): string => {
    const text = JSON.stringify(value);
    return text === undefined ? "nothing" : text.slice(0, MAX_VALUE_CHARS);
};

/** Returns false if the value at the path may contain a key, so that errors must not show it. */
type MayShow = (path: readonly PropertyKey[]) => boolean;

const toIssue = (input: unknown, issue: z.core.$ZodIssue, mayShow: MayShow): Issue => ({
    code: issue.code,
    path: issue.path.map(String).join("."),
    message: mayShow(issue.path)
        ? `${issue.message}; got ${formatValue(valueAt(input, issue.path))}`
        : issue.message,
    requirement: issue.message,
});

/** Returns the validated value. Throws a ConfigError that names each invalid field, its value and what is allowed. */
export function parse<Schema extends z.ZodType>(
    schema: Schema,
    input: unknown,
    mayShow: MayShow = () => true,
): z.infer<Schema> {
    const result = schema.safeParse(input);
    if (result.success) {
        return result.data;
    }
    throw new ConfigError(result.error.issues.map(issue => toIssue(input, issue, mayShow)));
}
