/** A test file that ends while a test of it waits for nothing. */
import { test } from "node:test";

test("one", () => new Promise(() => {}));
test("two", () => {});
