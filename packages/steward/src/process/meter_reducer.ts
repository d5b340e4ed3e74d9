import type { Reducer } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { StewardEvent } from "../events.ts";
import type { StewardState } from "../state.ts";
import type { CounterName, StewardMetrics } from "./metrics.ts";

type StewardReducer = Reducer<StewardState, StewardEvent, StewardEffect>;

/** A counter to increment, and the value of its label `reason`. */
interface Count {
  readonly counter: CounterName;
  readonly reason: string;
}

/** Maps events or effects to the counter to increment, by kind. */
type Counts<Tagged extends { readonly kind: string }> = {
  readonly [Kind in Tagged["kind"]]?: (
    tagged: Extract<Tagged, { kind: Kind }>,
  ) => Count;
};

const eventCounts: Counts<StewardEvent> = {
  operator_requested: ({ operation }) => ({
    counter: "operations",
    reason: operation.kind,
  }),
  change_accepted: () => ({ counter: "changes", reason: "accepted" }),
  batches_settled: () => ({ counter: "settlements", reason: "settled" }),
  batches_failed: ({ failure }) => ({
    counter: "settlements",
    reason: failure.kind,
  }),
  lease_failed: () => ({ counter: "retries", reason: "lease" }),
  exchange_failed: () => ({ counter: "retries", reason: "exchange" }),
  vm_listing_failed: () => ({ counter: "retries", reason: "vm_list" }),
  configuration_read_failed: () => ({
    counter: "retries",
    reason: "configuration",
  }),
};

const effectCounts: Counts<StewardEffect> = {
  refuse_operator: ({ failure }) => ({
    counter: "refusals",
    reason: failure.kind,
  }),
  forward_batches: () => ({ counter: "settlements", reason: "forwarded" }),
};

/** Wraps a reducer so that its events and effects are counted. */
export function meterReducer(
  reduce: StewardReducer,
  { counters }: StewardMetrics,
): StewardReducer {
  function increment({ counter, reason }: Count): void {
    counters[counter].inc({ reason });
  }
  return function reduceMetered(state, event) {
    const effects = reduce(state, event);
    incrementByKind(eventCounts, event, increment);
    for (const effect of effects) {
      incrementByKind(effectCounts, effect, increment);
    }
    return effects;
  };
}

function incrementByKind<Tagged extends { readonly kind: string }>(
  counts: Counts<Tagged>,
  tagged: Tagged,
  increment: (count: Count) => void,
): void {
  const toCount = counts[tagged.kind as Tagged["kind"]] as
    | ((tagged: Tagged) => Count)
    | undefined;
  if (toCount !== undefined) {
    increment(toCount(tagged));
  }
}
