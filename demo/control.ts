/** Sets what a stand-in does. */
import { request } from "undici";

/** Posts the value to the stand-in's `/control`. */
export async function control(address: string, value: unknown): Promise<void> {
    const { body } = await request(`http://${address}/control`, { method: "POST", body: JSON.stringify(value) });
    await body.dump();
}
