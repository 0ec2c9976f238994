/** A test file that ends while one of its tests waits for a promise that never settles. */
import { test } from "node:test";

test("one", () => new Promise(() => {}));
test("two", () => {});
