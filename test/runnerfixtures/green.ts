/** A test file in which all tests pass. */
import { test } from "node:test";

test("one", () => {});
