import type { ExchangeMessage__Output } from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import type { Exchange } from "./exchange.ts";
import type { Link } from "./link.ts";
import type { MemberRole, MemberState } from "./member.ts";
import { memberStates } from "./member.ts";
import type { Membership } from "./membership.ts";

/** Applies a member's record that a peer sent; one that is not valid is ignored. */
export function applyMember(
  record: ExchangeMessage__Output["members"][number],
  { membership, link, at }: {
    readonly membership: Membership;
    readonly link: Link;
    readonly at: Moment;
  },
): void {
  const state = record.state as MemberState;
  const role = record.role as MemberRole;
  if (!(state in memberStates) || !(role === "entry" || role === "steward")) {
    return;
  }
  const changed = membership.merge({ ...record, state, role }, at);
  if (!changed && membership.get(record.id)?.state === state) {
    link.remove("members", record.id);
  }
}

/**
 * Queues the sender's own record unless it is live here, so that the sender can
 * refute it.
 */
export function queueSenderRecord(
  sender: string,
  { membership, exchange, link }: {
    readonly membership: Membership;
    readonly exchange: Exchange;
    readonly link: Link;
  },
): void {
  const record = membership.get(sender);
  if (record === undefined || record.state === "live") {
    link.address = record?.peers ?? link.address;
    return;
  }
  link.address = record.peers;
  if (exchange.store.get("members", sender) !== undefined) {
    link.add("members", sender);
  }
}
