/** Maps the tRPC calls between daemons to the peer service. */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import { CrashChanges } from "../wire/crashchanges.js";
import { RecordsPosition } from "../wire/recordsposition.js";
import type { PeerService } from "./peerservice.js";
import { RevokeInput } from "./revokeinput.js";

const t = initTRPC.context<{ service: PeerService; }>().create();

/** The router of all calls; it validates their input. */
export const peerRouter = t.router({
    hello: t.procedure.query(({ ctx }) => ctx.service.hello()),
    revoke: t.procedure.input(RevokeInput).mutation(({ ctx, input }) => ctx.service.revoke(input)),
    update: t.procedure
        .input(z.object({ have: z.int().min(0) }))
        .query(({ ctx, input }) => ctx.service.update(input.have)),
    member: t.procedure.query(({ ctx }) => ctx.service.member()),
    records: t.procedure
        .input(z.object({ have: RecordsPosition.optional() }))
        .query(({ ctx, input }) => ctx.service.records(input.have)),
    crashes: t.procedure.input(CrashChanges).mutation(({ ctx, input }) => ctx.service.crashes(input)),
    status: t.procedure.query(({ ctx }) => ctx.service.status()),
});
