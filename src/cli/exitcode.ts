/** Defines the exit codes of `winglock`. */

/** Documented in `winglock --help` and docs/OPERATIONS.md. */
export const exitCode = {
    done: 0,
    failed: 1,
    invalid: 2,
    conflict: 3,
    unknown: 4,
    notFound: 5,
} as const;
