/** Starts a process again each time that it has ended. */
import { pause } from "./pause.js";

const LOOK_EVERY_MS = 10;
/** Until an ended one is there again; milliseconds, at the users' they took 1 to 5 s. */
const BACK_AFTER_MS = 700;

/** `onEnd` is told of each end; `isOver` says when the process is no longer kept. */
type Kept = {
    readonly isRunning: () => boolean;
    readonly restart: () => Promise<void>;
    readonly onEnd: () => void;
    readonly isOver: () => boolean;
};

/** Resolves when it is over. */
export async function keepRunning({ isRunning, restart, onEnd, isOver }: Kept): Promise<void> {
    while (!isOver()) {
        await pause(LOOK_EVERY_MS);
        if (!isRunning()) {
            onEnd();
            await pause(BACK_AFTER_MS);
            await restart();
        }
    }
}
