/** Duties assigned by leases, and the operators' interface. */
export * from "./settings.ts";

/** URL of the steward's compiled program. */
export const stewardProgram: URL = new URL("./main.js", import.meta.url);
