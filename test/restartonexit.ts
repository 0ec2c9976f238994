/** Restarts a process each time that it has ended. */
import { pause } from "./pause.js";

const POLL_INTERVAL_MS = 10;
/** Time from the end of the process to its restart. Instances of the users are back after 1 to 5 s. */
const RESTART_DELAY_MS = 700;

/** `onEnd` is called each time that the process has ended, before its restart. */
type RestartOptions = {
    readonly isRunning: () => boolean;
    readonly restart: () => Promise<void>;
    readonly onEnd: () => void;
    readonly isOver: () => boolean;
};

/** Polls the process and restarts it until `isOver` returns true, then resolves. */
export async function restartOnExit({ isRunning, restart, onEnd, isOver }: RestartOptions): Promise<void> {
    while (!isOver()) {
        await pause(POLL_INTERVAL_MS);
        if (!isRunning()) {
            onEnd();
            await pause(RESTART_DELAY_MS);
            await restart();
        }
    }
}
