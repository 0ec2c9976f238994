/** Defines the fields of a request's log line that `winglock why` uses. */
import { z } from "zod";

const RequestLogLine = z.looseObject({
    time: z.number(),
    part: z.string(),
    id: z.string(),
    message: z.string(),
    try: z.string().optional(),
});
type RequestLogLine = z.infer<typeof RequestLogLine>;

/** `time` is in milliseconds since the epoch. The other fields are the inputs of the logged decision. */
export { RequestLogLine };
