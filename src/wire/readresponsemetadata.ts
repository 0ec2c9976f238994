/** Reads a gate's note. */
import { noteCodec } from "./notecodec.js";
import { AnswerNote } from "./responsemetadata.js";

/** Returns undefined for what is no note. */
export function readResponseMetadata(list: unknown): AnswerNote | undefined {
    return AnswerNote.safeParse(noteCodec.read(list)).data;
}
