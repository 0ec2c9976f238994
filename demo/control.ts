/** Control of the stand-ins. */
import { request } from "undici";

/** Sends a control message to `/control` of the stand-in or proxy at `address`, and ignores the status. */
export async function control(address: string, value: unknown): Promise<void> {
    const { body } = await request(`http://${address}/control`, { method: "POST", body: JSON.stringify(value) });
    await body.dump();
}
