/** Which level is it when so many requests run at once? */
import { levelSize } from "./levelsize.js";

/** The level of so many requests; 0 where none runs. */
export const levelOf = (running: number, slots: number): number =>
    Math.ceil(Math.min(running, slots) / levelSize(slots));
