import type { EventHandlers } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { count } from "../util/effects.ts";
import type { UsageEvent } from "./usage_event.ts";

/** Hands usage over until it is settled. */
export const usagePart: EventHandlers<EntryState, UsageEvent, EntryEffect> = {
  usage_settled: (state, event) => {
    state.usage.settle(event.settled);
    return [];
  },
  usage_not_settled: () => [count("retries", "settlement")],
};

/** Closes the open usage and asks a steward to settle the oldest batch. */
export function flushUsage(state: EntryState): readonly EntryEffect[] {
  state.usage.close();
  const batch = state.usage.oldest;
  const stewards = [...state.vms.values()].filter((vm) =>
    vm.role === "steward" && vm.peers !== undefined
  );
  const steward = stewards[state.random.below(Math.max(1, stewards.length))];
  if (batch === undefined || steward?.peers === undefined) {
    return [];
  }
  return [{ kind: "settle_usage", address: steward.peers, batch }];
}
