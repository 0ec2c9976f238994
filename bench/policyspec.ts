/** A policy under measurement: a name and the daemon settings that make it. */

/** `settings` is laid over the daemons' settings. */
export type PolicySpec = { readonly name: string; readonly settings: { readonly policy: object; }; };
