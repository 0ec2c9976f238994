/** A log line, as far as the story of a request needs it. */
import { z } from "zod";

const RequestLogLine = z.looseObject({
    time: z.number(),
    part: z.string(),
    id: z.string(),
    message: z.string(),
    try: z.string().optional(),
});
type RequestLogLine = z.infer<typeof RequestLogLine>;

/** `time` is the time of day in milliseconds; the rest of the fields is what the decision rests on. */
export { RequestLogLine };
