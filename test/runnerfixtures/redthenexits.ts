/** A test file with a test that fails, whose process ends during the next test. */
import { test } from "node:test";

test("two, which fails", () => {
    throw new Error("it fails");
});
test("three", () => process.exit(3));
