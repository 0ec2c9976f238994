/** Counts the members' records in the store. */
import { get } from "node:http";
import { readJson } from "../standin/readjson.js";
import type { PlatformMesh } from "./platformmesh.js";

/** Resolves with the number of records. Uses a new connection: the test may have muted the open ones. */
export function countRecords(mesh: PlatformMesh): Promise<number> {
    return new Promise((resolve, reject) => {
        const url = `http://${mesh.storeAddress}/api/kv-range?pathPrefix=winglock%2Fmembers%2F`;
        get(url, { agent: false }, res => {
            readJson<{ items: unknown[]; }>(res).then(({ items }) => resolve(items.length), reject);
        }).on("error", reject);
    });
}
