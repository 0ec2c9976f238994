/** A test file with a test that fails, and a process that ends before the next one. */
import { test } from "node:test";

test("two, which fails", () => {
    throw new Error("it fails");
});
test("three", () => process.exit(3));
