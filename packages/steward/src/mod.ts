/** Settings and program of the steward, which holds duties under leases. */
export * from "./settings.ts";

/** URL of the steward's compiled program. */
export const stewardProgram: URL = new URL("./main.js", import.meta.url);
