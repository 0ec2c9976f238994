#!/usr/bin/env node
/**
 * Starts a daemon from its bundle, with the code cache beside it where there is one that fits this Node.js and its
 * flags: compiling is most of what a start costs. `WINGLOCK_WRITE_CODE_CACHE=1` writes the cache at the end.
 */
"use strict";

const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const BUNDLE = join(__dirname, "winglockd.bundle.cjs");
const CACHE = join(__dirname, "winglockd.cache");

const readCache = () => {
    try {
        return readFileSync(CACHE);
    }
    catch {
        return undefined;
    }
};

const cachedData = readCache();
const script = new Script(`(function (require, module, exports) {${readFileSync(BUNDLE, "utf8")}\n})`, {
    filename: BUNDLE,
    cachedData,
});
/** Told in the daemon's first log line. */
process.env.WINGLOCK_CODE_CACHE = cachedData === undefined ? "none" : script.cachedDataRejected ? "rejected" : "used";
if (process.env.WINGLOCK_WRITE_CODE_CACHE === "1") {
    process.on("exit", () => writeFileSync(CACHE, script.createCachedData()));
}
script.runInThisContext()(require, module, exports);
