import type { ExchangeMessage__Output } from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import type { Link } from "./link.ts";
import type { MemberRole, MemberState } from "./member.ts";
import { memberStates } from "./member.ts";
import type { Membership } from "./membership.ts";

/** Applies a peer's record of a member; one of an unknown kind is ignored. */
export function applyMemberRecord(
  membership: Membership,
  record: ExchangeMessage__Output["members"][number],
  { at, link }: { readonly at: Moment; readonly link: Link },
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
