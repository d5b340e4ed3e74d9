/** The entry serves callers over HTTP and routes their work to upstreams. */
export * from "./settings.ts";

/** URL of the compiled program. */
export const entryProgram: URL = new URL("./main.js", import.meta.url);
