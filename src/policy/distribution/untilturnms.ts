/**
 * Decides when a watcher renews its watch of the configuration.
 *
 * A watch that gets no response may be waiting for a change, or on a connection that has become unresponsive. The
 * response at the end of its waiting time tells. The watchers of all halls take turns, so that one of them learns it in
 * each second, at the cost of one call a second for the whole fleet; it announces the change to the others.
 */

const TURN_MS = 1000;
/** A watch that begins so shortly before the turn of its watcher waits for the next one. */
const MIN_WAIT_MS = 100;

/** The place of a watcher, from 0, among `count` watchers of all halls. */
type WatcherPlace = { readonly index: number; readonly count: number; };

/**
 * Returns the whole milliseconds until the watcher's next turn. Turns follow the time of day, which differs little
 * between hosts; `timeOfDayMs` is the time since the epoch.
 */
export function untilTurnMs({ index, count }: WatcherPlace, timeOfDayMs: number): number {
    const periodMs = count * TURN_MS;
    const waitMs = Math.ceil(periodMs - (timeOfDayMs - index * TURN_MS) % periodMs);
    return waitMs < MIN_WAIT_MS ? waitMs + periodMs : waitMs;
}
