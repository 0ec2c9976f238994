/** A line of the platform's list of hosts. */
export type HostLine = { readonly name: string; readonly state: "live" | "leaving"; };
