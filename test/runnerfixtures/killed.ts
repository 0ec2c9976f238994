/** A test file whose process is ended by a signal. */
import { test } from "node:test";

test("one", () => {});
test("two", () => void process.kill(process.pid, "SIGKILL"));
