/** A larger body is sent only when the gate asks for it. It then costs a round trip more, but no refusal wastes it. */
export const maxEagerBodyBytes = 16 * 1024;
