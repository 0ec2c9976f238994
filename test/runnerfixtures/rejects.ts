/** A test file with an unhandled rejection after its last test. */
import { test } from "node:test";

test("one", () => {});
test("two", () => {
    setTimeout(() => void Promise.reject(new Error("after the last test")), 20);
});
