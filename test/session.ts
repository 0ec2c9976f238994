/** A transcript of what an operator types and sees, held against a golden file. */
import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import type { Mesh } from "../demo/mesh.js";

const FOLDER = new URL("../../test/golden/", import.meta.url).pathname;
const REWRITE = process.env["WINGLOCK_GOLDEN"] === "write";

/** Collects commands with their output; what differs from run to run is replaced. */
export class Session {
    readonly #lines: string[] = [];

    constructor(private readonly mesh: Mesh) {}

    /** Runs the real command and writes down what it printed. */
    async type(...args: string[]): Promise<void> {
        const { code, stdout, stderr } = await this.mesh.cli(...args);
        const shown = args.map(arg => arg.includes(" ") ? `'${arg}'` : arg).join(" ");
        this.#lines.push(...this.#clean(`$ winglock ${shown}`), ...this.#clean(stdout + stderr), `(exit ${code})`, "");
    }

    /** Writes down something else that was done and seen. */
    note(text: string): void {
        this.#lines.push(...this.#clean(text), "");
    }

    /** Compares with the golden file, or writes it when WINGLOCK_GOLDEN=write. */
    matches(name: string): void {
        const file = `${FOLDER}${name}.txt`;
        const text = this.#lines.join("\n");
        if (REWRITE) {
            writeFileSync(file, text);
        }
        assert.equal(text, readFileSync(file, "utf8"));
    }

    #clean(text: string): string[] {
        return text
            .replaceAll(/127\.\d+\./g, "127.R.")
            .replaceAll(/[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f-]{22}/g, "CHANGE-ID")
            .replaceAll(/(?<= {2})\d+\.\d$/gm, "N")
            .trimEnd()
            .split("\n");
    }
}
