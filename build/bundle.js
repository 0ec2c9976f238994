/**
 * Bundles a daemon's binary, so that its start reads one file: `node build/bundle.js OUT_FOLDER SOURCE`.
 *
 * Writes `winglockd.cjs`, the launcher, and `winglockd.bundle.cjs`, what it runs. `build/warm.js` adds the code cache.
 */
import { build } from "esbuild";
import { copyFileSync, rmSync } from "node:fs";
import { join } from "node:path";
import { leaveOut } from "./leaveout.js";

const [outdir, source] = process.argv.slice(2);

await build({
    entryPoints: { "winglockd.bundle": source },
    outdir,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    legalComments: "none",
    plugins: [leaveOut],
});
copyFileSync(new URL("launcher.cjs", import.meta.url), join(outdir, "winglockd.cjs"));
rmSync(join(outdir, "winglockd.cache"), { force: true });
