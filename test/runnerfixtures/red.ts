/** A test file with a test that fails. */
import { test } from "node:test";

test("one", () => {});
test("two, which fails", () => {
    throw new Error("it fails");
});
