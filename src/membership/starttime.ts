/** When a life of an upstream began. */
import { z } from "zod";

const Born = z.int().min(0);
type Born = z.infer<typeof Born>;

/** Unix milliseconds by the upstream's own clock: they tell its lives apart, and are compared with nothing else. */
export { Born };
