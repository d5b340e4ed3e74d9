/** Signed caller keys and stream tokens. */
export * from "./caller_key.ts";
export * from "./stream_token.ts";
