/** How many attempts does a request get where its rule does not say, moves apart? Chosen, not measured. */
export const defaultAttempts = 3;
