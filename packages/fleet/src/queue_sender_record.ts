import type { Exchange } from "./exchange.ts";
import type { Link } from "./link.ts";
import type { Membership } from "./membership.ts";

/**
 * Queues the record of a peer that has sent a message unless it is live here, so
 * that the peer can refute it.
 */
export function queueSenderRecord(
  membership: Membership,
  exchange: Exchange,
  link: Link,
): void {
  const record = membership.get(link.id);
  if (record === undefined || record.state === "live") {
    link.address = record?.peers ?? link.address;
    return;
  }
  link.address = record.peers;
  if (exchange.store.get("members", link.id) !== undefined) {
    link.add("members", link.id);
  }
}
