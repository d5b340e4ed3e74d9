import type { ExchangeMessage__Output } from "@lavenderferry/protocol";
import type { MutableUpdates } from "./fleet_updates.ts";
import type { PeerWorkTable } from "./peer_work_table.ts";

/**
 * Adds to the updates what a peer's message tells of its own work and of
 * records that the caller of the fleet protocol merges itself.
 */
export function collectPeerRecords(
  updates: MutableUpdates<unknown>,
  message: ExchangeMessage__Output,
  { from, stale, peerWork }: {
    readonly from: string;
    /** Whether a later message of the peer has been applied. */
    readonly stale: boolean;
    readonly peerWork: PeerWorkTable;
  },
): void {
  const { suspects, limits, shares, lengths, storeEra } = message;
  updates.suspects.push(...suspects);
  updates.limits.push(...limits);
  if (!stale && shares.length > 0) {
    updates.shares.set(from, peerWork.apply(from, shares));
  }
  if (lengths.length > 0) {
    const known = updates.lengths.get(from) ?? [];
    updates.lengths.set(from, [...known, ...lengths]);
  }
  updates.storeEra = Math.max(updates.storeEra, storeEra);
}
