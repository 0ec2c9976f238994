/** A test file that exceeds its timeout. */
import { test } from "node:test";

test("one", () => {});
test("two", () => new Promise(resolve => setTimeout(resolve, 60_000)));
