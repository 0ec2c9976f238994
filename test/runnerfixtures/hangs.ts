/** A test file that does not end in time. */
import { test } from "node:test";

test("one", () => {});
test("two", () => new Promise(resolve => setTimeout(resolve, 60_000)));
