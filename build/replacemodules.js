/**
 * Replaces library modules in the bundle by smaller ones that hold only what the daemons use; an esbuild plugin.
 *
 * The unused code slows down the start, because it loads HTTP/2, TLS, child processes, workers and native add-ons. Each
 * entry states what the bundle of platform/main.ts saves by it: Node.js modules loaded (`process.moduleLoadList`) and
 * size. With all entries, the bundle loads 164 modules and has 931 KB.
 */

/** The replacements, by the name of the imported module and the path of the module that imports it (`from`). */
const REPLACEMENTS = [
    // The index loads fetch, web sockets, caches and mocks: 46 modules, 230 KB.
    {
        name: /^undici$/,
        code: `
            const Dispatcher = require("./node_modules/undici/lib/dispatcher/dispatcher.js");
            Object.assign(Dispatcher.prototype, require("./node_modules/undici/lib/api/index.js"));
            exports.Agent = require("./node_modules/undici/lib/dispatcher/agent.js");
            exports.Client = require("./node_modules/undici/lib/dispatcher/client.js");
            exports.DecoratorHandler = require("./node_modules/undici/lib/handler/decorator-handler.js");
            exports.Pool = require("./node_modules/undici/lib/dispatcher/pool.js");
            exports.buildConnector = require("./node_modules/undici/lib/core/connect.js");`,
    },
    // The index loads the metrics of clusters and the default metrics of the process: 21 modules, 53 KB.
    {
        name: /^prom-client$/,
        code: `
            exports.Registry = require("./node_modules/prom-client/lib/registry.js");
            exports.Counter = require("./node_modules/prom-client/lib/counter.js");
            exports.Gauge = require("./node_modules/prom-client/lib/gauge.js");
            exports.Histogram = require("./node_modules/prom-client/lib/histogram.js");`,
    },
    // undici uses it only to check its own arguments: 6 modules.
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
    // pino's own destinations, which are not used, because src/log/output.ts writes the log: 11 modules, 19 KB.
    { name: /^(\.\/sonic-boom|sonic-boom|thread-stream)$/, from: /pino/, code: "module.exports = class {};" },
    // pino only checks whether it runs in a worker: 5 modules.
    { name: /^worker_threads$/, from: /pino/, code: "exports.isMainThread = true;" },
    // undici only looks up the names of header fields: 30 modules.
    { name: /^node:http2$/, from: /undici/, code: "exports.constants = {};" },
    // The index for Node.js searches for a native add-on and loads streams: 6 modules.
    { name: /^msgpackr$/, code: "module.exports = require(\"./node_modules/msgpackr/index.js\");" },
    // Error messages in all languages but English: 257 KB.
    { name: /locales\/index\.js$/, from: /zod/, code: "export {};" },
];

const NAMESPACE = "left-out";

/** The esbuild plugin. */
export const replaceModules = {
    name: NAMESPACE,
    setup(build) {
        REPLACEMENTS.forEach(({ name, from = /./ }, index) => {
            build.onResolve(
                { filter: name },
                ({ importer, namespace }) =>
                    from.test(importer) && namespace !== NAMESPACE
                        ? { path: String(index), namespace: NAMESPACE }
                        : undefined,
            );
        });
        build.onLoad({ filter: /./, namespace: NAMESPACE }, ({ path }) => ({
            contents: REPLACEMENTS[Number(path)].code,
            resolveDir: new URL("..", import.meta.url).pathname,
        }));
    },
};
