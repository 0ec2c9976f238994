/** Sets the default of an upstream's `connections`. The field is stored, but does not limit connections yet. */
export const defaultConnections = 200;
