/** Client of the platform's table, objects, VM list and weight store. */
export * from "./circuit.ts";
export { eraHeader, readEra } from "./http_transport.ts";
export * from "./memory_table.ts";
export * from "./platform_client.ts";
export * from "./progress_deadline.ts";
export * from "./row_follower.ts";
export * from "./socket_address_schema.ts";
export { StoreConnections } from "./store_connections.ts";
export * from "./store_version.ts";
export * from "./table.ts";
export * from "./transport.ts";
export * from "./vm_list.ts";
