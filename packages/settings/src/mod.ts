/** Settings files in JSON with comments, checked against strict schemas. */
export * from "./describe_error.ts";
export * from "./load_settings.ts";
export * from "./parse_settings.ts";
export * from "./run_program.ts";
export * from "./schemas.ts";
export * from "./version.ts";
