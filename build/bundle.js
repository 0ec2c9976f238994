/**
 * Bundles a daemon into one file, so that it starts quickly: `node build/bundle.js OUT_FOLDER SOURCE [readable]`.
 *
 * With `readable`, names are kept, for profiles.
 *
 * Writes the launcher, `winglockd.cjs`, and the bundle that it runs, `winglockd.bundle.cjs`. Deletes an earlier code
 * cache; `build/warm.js` writes a new one.
 */
import { build } from "esbuild";
import { copyFileSync, rmSync } from "node:fs";
import { join } from "node:path";
import { replaceModules } from "./replacemodules.js";

const [outdir, source, style] = process.argv.slice(2);

await build({
    entryPoints: { "winglockd.bundle": source },
    outdir,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    minify: style !== "readable",
    platform: "node",
    target: "node20",
    format: "cjs",
    legalComments: "none",
    plugins: [replaceModules],
});
copyFileSync(new URL("launcher.cjs", import.meta.url), join(outdir, "winglockd.cjs"));
rmSync(join(outdir, "winglockd.cache"), { force: true });
