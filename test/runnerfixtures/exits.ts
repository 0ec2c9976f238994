/** A test file whose process ends before its last test. */
import { test } from "node:test";

test("one", () => {});
test("two", () => process.exit(3));
test("three", () => {});
