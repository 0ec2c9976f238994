/** For how long does a daemon's own word go before what others say of it? */

/** More than two of its signs of life, in milliseconds. */
export const directMs = 5000;
