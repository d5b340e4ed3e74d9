/**
 * Small stand-ins for engines, services and the platform, and a fault-injecting
 * proxy.
 */
export * from "./engine/engine_model.ts";
export * from "./engine/engine_server.ts";
export * from "./engine/token_text.ts";
export * from "./platform/platform_server.ts";
export * from "./proxy/proxy_server.ts";
export * from "./service/service_server.ts";

/** File URLs of the compiled stand-in programs, to run with Node.js. */
export const standinPrograms = {
  engine: new URL("./engine/engine_main.js", import.meta.url),
  service: new URL("./service/service_main.js", import.meta.url),
  platform: new URL("./platform/platform_main.js", import.meta.url),
} as const;
export * from "./rows/opaque_upstream.ts";
export * from "./rows/rows_server.ts";
