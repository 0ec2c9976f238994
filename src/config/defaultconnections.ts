/** Connections to an upstream where the document does not say; the field is kept in its form, no limit is made of it yet. */
export const defaultConnections = 200;
