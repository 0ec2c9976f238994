/** Watchers of a hall: two, so that one may fail. */
export const watchersPerHall = 2;
