#!/usr/bin/env node
/**
 * Starts a daemon from its bundle. Uses the code cache beside the bundle, if there is one that fits this version of
 * Node.js and its flags, because most of the start time is compilation. With `WINGLOCK_WRITE_CODE_CACHE=1`, writes the
 * cache when the process exits.
 */
"use strict";

const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const BUNDLE = join(__dirname, "winglockd.bundle.cjs");
const CACHE = join(__dirname, "winglockd.cache");

// Without a listener, the signal would end the process. The settings are read later, and the daemon adds its listener.
process.on("SIGHUP", () => {});

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
/** Logged by the daemon when it has started. */
process.env.WINGLOCK_CODE_CACHE = cachedData === undefined ? "none" : script.cachedDataRejected ? "rejected" : "used";
if (process.env.WINGLOCK_WRITE_CODE_CACHE === "1") {
    process.on("exit", () => writeFileSync(CACHE, script.createCachedData()));
}
script.runInThisContext()(require, module, exports);
