// Lint rules: the TypeScript team's guidelines, and the house rules that a tool can check.
import tseslint from "typescript-eslint";

const pureCore = {
    files: ["src/policy/**/*.ts", "src/ledger/**/*.ts"],
    ignores: ["**/*.test.ts"],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [{ regex: "^(node:|undici|debug|zod)", message: "The decisions do no I/O." }],
        }],
        "no-restricted-globals": ["error", "setTimeout", "setInterval", "performance", "process", "fetch"],
        "no-restricted-properties": [
            "error",
            { object: "Date", property: "now", message: "The present time is an argument." },
            { object: "Math", property: "random", message: "Randomness is an argument." },
        ],
    },
};

/** The house rule: one export a file. Several `export` lines, or one that names several values, are more than one. */
const oneExport = {
    create: context => ({
        Program(program) {
            const exported = program.body.filter(node => node.type.startsWith("Export"));
            exported.slice(1).forEach(node => context.report({ node, message: "One export a file." }));
        },
    }),
};

export default tseslint.config(
    { ignores: ["dist", "target", "node_modules", "src/gen"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{ from: "package", name: ["test"], package: "node:test" }],
            }],
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-redeclare": "off",
            "eqeqeq": "error",
            "prefer-const": "error",
            "@typescript-eslint/no-unused-vars": ["error", {
                argsIgnorePattern: "^_",
                varsIgnorePattern: "^_",
                caughtErrors: "none",
            }],
            "func-style": ["error", "declaration", { allowArrowFunctions: true }],
            "max-lines": ["error", { max: 250 }],
        },
    },
    {
        files: ["src/**/*.ts", "platform/**/*.ts", "standin/**/*.ts", "demo/**/*.ts", "bench/**/*.ts", "test/**/*.ts"],
        ignores: ["src/gen/**"],
        plugins: { house: { rules: { "one-export": oneExport } } },
        rules: { "house/one-export": "error" },
    },
    { files: ["build/*.cjs"], rules: { "@typescript-eslint/no-require-imports": "off" } },
    pureCore,
);
