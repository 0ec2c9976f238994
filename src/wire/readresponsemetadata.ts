/** Decodes and validates the metadata of a response. */
import { noteCodec } from "./notecodec.js";
import { AnswerNote } from "./responsemetadata.js";

/** Returns the metadata, or undefined if it is invalid. */
export function readResponseMetadata(list: unknown): AnswerNote | undefined {
    return AnswerNote.safeParse(noteCodec.read(list)).data;
}
