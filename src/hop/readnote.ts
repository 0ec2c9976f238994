/** Reads a gate's note. */
import { AnswerNote } from "./answernote.js";
import { noteFields } from "./notefields.js";
import { readList } from "./readlist.js";
import { reportFields } from "./reportfields.js";

/** Returns undefined for what is no note. */
export function readNote(text: string | string[] | undefined): AnswerNote | undefined {
    const note = readList(text, noteFields) as { report?: string; } | undefined;
    if (note === undefined) {
        return undefined;
    }
    const report = readList(note.report, reportFields);
    return AnswerNote.safeParse({ ...note, report }).data;
}
