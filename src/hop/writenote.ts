/** Writes a gate's note. */
import type { LoadReport } from "../policy/loadreport.js";
import type { AnswerNote } from "./answernote.js";
import { noteFields } from "./notefields.js";
import { reportFields } from "./reportfields.js";
import { tenths } from "./tenths.js";
import { writeList } from "./writelist.js";

const optional = (ms: number | undefined): number | undefined => ms === undefined ? undefined : tenths(ms);

const writeReport = (report: LoadReport): string => {
    const { serviceMs, baseMs, pace } = report;
    const written = { ...report, serviceMs: tenths(serviceMs), baseMs: tenths(baseMs), pace: optional(pace) };
    return writeList(reportFields.map(name => written[name]));
};

/** A part that is undefined is left out. */
export function writeNote(note: AnswerNote): string {
    const { gateTime, tookMs, retryAfterMs, report } = note;
    const written = {
        ...note,
        gateTime: tenths(gateTime),
        tookMs: optional(tookMs),
        retryAfterMs: optional(retryAfterMs),
        retriedBelow: note.retriedBelow === true ? true : undefined,
        calls: note.calls === true ? true : undefined,
        unframed: note.unframed === true ? true : undefined,
        report: report === undefined ? undefined : writeReport(report),
    };
    return writeList(noteFields.map(name => written[name]));
}
