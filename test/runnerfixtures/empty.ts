/** A test file without a test. */
export {};
