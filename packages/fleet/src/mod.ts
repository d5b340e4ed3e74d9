/** Membership, exchange between processes, leases and duties. */
export * from "./address_book.ts";
export * from "./documents/document_codec.ts";
export * from "./documents/document_effect.ts";
export * from "./documents/document_event.ts";
export * from "./documents/document_format.ts";
export * from "./documents/document_runner.ts";
export * from "./documents/encoded_document.ts";
export * from "./documents/limits.ts";
export * from "./duties.ts";
export * from "./duty_directory.ts";
export * from "./engine_check.ts";
export * from "./evacuations.ts";
export * from "./exchange_budget.ts";
export * from "./exchange_effect.ts";
export * from "./exchange_event.ts";
export * from "./exchange_handlers.ts";
export * from "./exchange_intervals.ts";
export * from "./exchange_runner.ts";
export * from "./fleet_node.ts";
export type { FleetNodeOptions } from "./fleet_node_options.ts";
export type {
  FleetUpdates,
  LengthCounts,
  PeerWork,
  RelayedUpstreams,
  Versioned,
} from "./fleet_updates.ts";
export * from "./lease.ts";
export * from "./marks.ts";
export * from "./member.ts";
export * from "./membership.ts";
export * from "./peer_selection.ts";
export * from "./readers.ts";
export * from "./socket_address.ts";
export * from "./suspect_record.ts";
export * from "./upstream_list.ts";
