/** A body that the sender keeps until the receiver asks for it. */
export class OnDemandBody {
    /** `size` is the length in bytes of a body that the sender has whole; undefined for one that is streamed. */
    constructor(readonly size: number | undefined) {}
}
