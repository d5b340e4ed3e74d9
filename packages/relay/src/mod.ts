/** Reverse proxy that forwards requests by route to pools of upstreams. */
export { storeLimitsOf } from "./fleet/store_limits_of.ts";
export { isHeaderValue } from "./http/is_header_value.ts";
export * from "./ports.ts";
export * from "./relay.ts";
export * from "./relay_effect.ts";
export * from "./relay_event.ts";
export * from "./requests/relayed_request.ts";
export * from "./routing/route_table.ts";
export * from "./routing/routing.ts";
export * from "./routing/routing_format.ts";
export * from "./settings.ts";
export type { SocketAddress } from "@lavenderferry/fleet";
export { parseSocketAddress } from "@lavenderferry/fleet";
