/** Compares a transcript of an operator's commands and their output with a golden file. */
import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import type { Mesh } from "../demo/mesh.js";

const GOLDEN_FOLDER = new URL("../../test/golden/", import.meta.url).pathname;
const REWRITE_GOLDEN = process.env["WINGLOCK_GOLDEN"] === "write";

/** Collects commands with their output, and replaces the parts that differ from run to run. */
export class Session {
    readonly #lines: string[] = [];

    constructor(private readonly mesh: Mesh) {}

    /** Runs winglock with the arguments; records the command, its output and its exit code. */
    async run(...args: string[]): Promise<void> {
        const { code, stdout, stderr } = await this.mesh.cli(...args);
        const commandLine = args.map(arg => arg.includes(" ") ? `'${arg}'` : arg).join(" ");
        this.#lines.push(
            ...this.#normalize(`$ winglock ${commandLine}`),
            ...this.#normalize(stdout + stderr),
            `(exit ${code})`,
            "",
        );
    }

    /** Records a step other than a command. */
    note(text: string): void {
        this.#lines.push(...this.#normalize(text), "");
    }

    /** Asserts that the transcript equals the golden file; first writes that file if WINGLOCK_GOLDEN=write. */
    assertMatchesGolden(name: string): void {
        const file = `${GOLDEN_FOLDER}${name}.txt`;
        const text = this.#lines.join("\n");
        if (REWRITE_GOLDEN) {
            writeFileSync(file, text);
        }
        assert.equal(text, readFileSync(file, "utf8"));
    }

    #normalize(text: string): string[] {
        return text
            .replaceAll(/127\.\d+\./g, "127.R.")
            .replaceAll(/[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f-]{22}/g, "CHANGE-ID")
            .replaceAll(/(?<= {2})\d+\.\d$/gm, "N")
            .trimEnd()
            .split("\n");
    }
}
