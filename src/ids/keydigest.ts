/** Defines the digest of a caller's key. */
import { z } from "zod";

/** Length of a 128-bit digest in hexadecimal. */
const LENGTH = 32;

const KeyDigest = z.string().regex(new RegExp(`^[0-9a-f]{${LENGTH}}$`), `must be ${LENGTH} hexadecimal digits`).brand(
    "KeyDigest",
);
type KeyDigest = z.infer<typeof KeyDigest>;

/** The key can't be recovered from the digest, so daemons store and exchange the digest only. */
export { KeyDigest };
