/** Reads a gate's note. */
import { AnswerNote } from "./answernote.js";
import { noteCodec } from "./notecodec.js";

/** Returns undefined for what is no note. */
export function readNote(list: unknown): AnswerNote | undefined {
    return AnswerNote.safeParse(noteCodec.read(list)).data;
}
