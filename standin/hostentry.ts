/** Entry of the platform's list of hosts. */
export type HostEntry = { readonly name: string; readonly state: "live" | "leaving"; };
