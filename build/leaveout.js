/**
 * Parts of libraries that the daemons never use, but whose load costs a start dear: they bring in HTTP/2, TLS, child
 * processes, workers and native add-ons. An esbuild plugin that puts the parts that are used in their place.
 *
 * Each entry says what the bundle of platform/main.ts loads and holds more without it: modules of Node.js by
 * `process.moduleLoadList`, and size, both measured by leaving the entry out (164 modules and 931 KB with all of them).
 */

/** What stands for a module, by the name it is asked for and the folder of whoever asks. */
const REPLACED = [
    // Its index loads fetch, web sockets, caches and mocks: 46 modules, 230 KB.
    {
        name: /^undici$/,
        code: `
            const Dispatcher = require("./node_modules/undici/lib/dispatcher/dispatcher.js");
            Object.assign(Dispatcher.prototype, require("./node_modules/undici/lib/api/index.js"));
            exports.Agent = require("./node_modules/undici/lib/dispatcher/agent.js");
            exports.Client = require("./node_modules/undici/lib/dispatcher/client.js");
            exports.Pool = require("./node_modules/undici/lib/dispatcher/pool.js");
            exports.buildConnector = require("./node_modules/undici/lib/core/connect.js");`,
    },
    // Its index loads the cluster's and the process's default metrics: 21 modules, 53 KB.
    {
        name: /^prom-client$/,
        code: `
            exports.Registry = require("./node_modules/prom-client/lib/registry.js");
            exports.Counter = require("./node_modules/prom-client/lib/counter.js");
            exports.Gauge = require("./node_modules/prom-client/lib/gauge.js");
            exports.Histogram = require("./node_modules/prom-client/lib/histogram.js");`,
    },
    // undici checks its own arguments by it: 6 modules.
    {
        name: /^(node:)?assert$/,
        from: /undici/,
        code: `
            module.exports = (value, message) => {
                if (!value) {
                    throw message instanceof Error ? message : new Error(message ?? "assertion failed");
                }
            };`,
    },
    // pino's own ways of writing; src/log/output.ts writes: 11 modules, 19 KB.
    { name: /^(\.\/sonic-boom|sonic-boom|thread-stream)$/, from: /pino/, code: "module.exports = class {};" },
    // pino asks whether it runs in a worker: 5 modules.
    { name: /^worker_threads$/, from: /pino/, code: "exports.isMainThread = true;" },
    // undici looks up names of fields: 30 modules.
    { name: /^node:http2$/, from: /undici/, code: "exports.constants = {};" },
    // Its index for Node.js looks for a native add-on, and has streams: 6 modules.
    { name: /^msgpackr$/, code: "module.exports = require(\"./node_modules/msgpackr/index.js\");" },
    // Error messages in all languages but English: 257 KB.
    { name: /locales\/index\.js$/, from: /zod/, code: "export {};" },
];

const NAMESPACE = "left-out";

/** The plugin. */
export const leaveOut = {
    name: NAMESPACE,
    setup(build) {
        REPLACED.forEach(({ name, from = /./ }, index) => {
            build.onResolve(
                { filter: name },
                ({ importer, namespace }) =>
                    from.test(importer) && namespace !== NAMESPACE
                        ? { path: String(index), namespace: NAMESPACE }
                        : undefined,
            );
        });
        build.onLoad({ filter: /./, namespace: NAMESPACE }, ({ path }) => ({
            contents: REPLACED[Number(path)].code,
            resolveDir: new URL("..", import.meta.url).pathname,
        }));
    },
};
