import type { Moment } from "@lavenderferry/runtime";
import type { Exchange } from "./exchange.ts";
import type { Member } from "./member.ts";

/**
 * Publishes a changed record of a member that has an epoch. `self` is the id of
 * this process, `from` the peer that sent the change.
 */
export function publishMember(
  exchange: Exchange,
  record: Member,
  { self, from, at }: {
    readonly self: string;
    readonly from: string | undefined;
    readonly at: Moment;
  },
): void {
  const { id, epoch, state } = record;
  if (epoch === "") {
    return;
  }
  const known = exchange.store.get("members", id)?.value.state;
  const urgent = state !== "live" ||
    (known !== undefined && known !== "live");
  // A peer that suspects this process is told otherwise itself.
  const isSelf = id === self;
  const origin = from === undefined || isSelf ? {} : { from };
  exchange.publish("members", { key: id, value: { ...record } }, {
    at,
    urgent,
    ...origin,
  });
}
