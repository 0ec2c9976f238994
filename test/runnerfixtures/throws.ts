/** A test file that throws while it is loaded. */
throw new Error("while it is loaded");
