/** Operators' command line and the settings checker. */
export * from "./settings.ts";

/** URLs of the compiled programs, to run as processes of their own. */
export const cliPrograms = {
  lavenderferry: new URL("./main.js", import.meta.url),
  check: new URL("./check_main.js", import.meta.url),
} as const;
