/** How an answer reaches the caller. */
import { z } from "zod";

const AnswerMode = z.enum(["whole", "streamed"]);
type AnswerMode = z.infer<typeof AnswerMode>;

/** `whole`: received whole before its first byte is sent; `streamed`: passed on as it comes. */
export { AnswerMode };
