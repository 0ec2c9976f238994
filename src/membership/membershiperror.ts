/** Thrown if an announcement can't be accepted at present, or if this daemon has no records to return. */
export class MembershipError extends Error {
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = "MembershipError";
    }
}
