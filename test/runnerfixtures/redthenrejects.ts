/** A test file with a test that fails, and an unhandled rejection after its last test. */
import { test } from "node:test";

test("two, which fails", () => {
    throw new Error("it fails");
});
test("three", () => {
    setTimeout(() => void Promise.reject(new Error("after the last test")), 20);
});
