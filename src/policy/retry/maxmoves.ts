/**
 * How often does a request move on before a gate is asked to serve it as it is? Each move costs a round trip between hosts;
 * two were enough in the measured rounds of docs/EXPERIMENTS.md ("waits of a quarter of the target, busy gates send on").
 */
export const maxMoves = 2;
