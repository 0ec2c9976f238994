/** A test file in which all is well. */
import { test } from "node:test";

test("one", () => {});
