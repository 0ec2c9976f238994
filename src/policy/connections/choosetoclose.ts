/**
 * Decides which connection is closed when there are as many as the daemon's descriptors allow.
 *
 * Inputs are the state of each connection and the time since which it has had it. A connection that was opened and has
 * sent nothing goes first, since its caller loses nothing; a caller with an idle connection can open another one. Only
 * then follow those on which a caller does not go on with what it has begun. A busy connection is not closed. Among those
 * in the same state the one goes that has been in it for longest: a caller that keeps within the limits is soon in
 * another one.
 */
import type { ConnectionState } from "./connectionstate.js";

/** `since` is in milliseconds on the daemon's clock. */
type Candidate = { readonly state: ConnectionState; readonly since: number; };

/** Lower ranks go first; a state without a rank is not closed. */
const RANKS: Readonly<Partial<Record<ConnectionState, number>>> = { silent: 0, idle: 1, unfinished: 2, unread: 3 };

/** Returns the connection to close, or undefined if all are busy. */
export function chooseToClose<Connection extends Candidate>(connections: Iterable<Connection>): Connection | undefined {
    let chosen: Connection | undefined;
    let chosenRank = Infinity;
    let chosenSince = Infinity;
    for (const connection of connections) {
        const { state, since } = connection;
        const rank = RANKS[state] ?? Infinity;
        if (rank < chosenRank || rank === chosenRank && rank < Infinity && since < chosenSince) {
            chosen = connection;
            chosenRank = rank;
            chosenSince = since;
        }
    }
    return chosen;
}
