/** Reads a gate's note. */
import { AnswerNote } from "./answernote.js";

/** Returns undefined for what is no note. */
export function readNote(text: string | string[] | undefined): AnswerNote | undefined {
    if (typeof text !== "string") {
        return undefined;
    }
    try {
        return AnswerNote.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
