/** Validates the body of a response of a store. */
import type { z } from "zod";
import { StoreError } from "./storeerror.js";

/** Returns the value of the JSON text. Throws a StoreError if it does not match the schema. */
export function parseResponse<Schema extends z.ZodType>(schema: Schema, text: string): z.infer<Schema> {
    try {
        return schema.parse(JSON.parse(text));
    }
    catch (err) {
        throw new StoreError(true, "the store's response is invalid", { cause: err });
    }
}
