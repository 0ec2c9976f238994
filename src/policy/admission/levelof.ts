/**
 * Maps a number of concurrent requests to a concurrency level: the number itself, or a group of adjacent numbers at an
 * upstream with many slots.
 */
import { levelSize } from "./levelsize.js";

/** Returns the level at which `running` requests run; 0 if none runs. */
export const levelOf = (running: number, slots: number): number =>
    Math.ceil(Math.min(running, slots) / levelSize(slots));
