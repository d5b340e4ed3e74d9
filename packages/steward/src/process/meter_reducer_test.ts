import { KnownError } from "@lavenderferry/errors";
import t from "tap";
import type { StewardEffect } from "../effects.ts";
import type { StewardEvent } from "../events.ts";
import type { StewardState } from "../state.ts";
import { meterReducer } from "./meter_reducer.ts";
import { createStewardMetrics } from "./metrics.ts";

const at = { monotonic: 0, wall: 0 };
const replyId = "reply";
const failure = new KnownError("Changed", { kind: "conflict" });
const state = {} as StewardState;

const refusal: StewardEffect = { kind: "refuse_operator", replyId, failure };

const cases: readonly {
  readonly event: object;
  readonly effects?: readonly StewardEffect[];
  readonly sample: string;
}[] = [
  {
    event: { kind: "operator_requested", operation: { kind: "read_status" } },
    sample: 'operations_total{reason="read_status"} 1',
  },
  {
    event: { kind: "operation_failed", replyId, failure },
    effects: [refusal],
    sample: 'refusals_total{reason="conflict"} 1',
  },
  {
    event: { kind: "change_accepted" },
    sample: 'changes_total{reason="accepted"} 1',
  },
  {
    event: { kind: "batches_settled" },
    sample: 'settlements_total{reason="settled"} 1',
  },
  {
    event: { kind: "batches_failed", failure },
    sample: 'settlements_total{reason="conflict"} 1',
  },
  {
    event: { kind: "vm_listing_failed" },
    sample: 'retries_total{reason="vm_list"} 1',
  },
];

for (const { event, effects = [], sample } of cases) {
  t.test(`${JSON.stringify(event)} is counted as ${sample}`, async (t) => {
    const metrics = createStewardMetrics({});
    const reduce = meterReducer(() => effects, metrics);
    t.equal(
      reduce(state, { ...event, at } as StewardEvent & { at: typeof at }),
      effects,
    );
    t.match(
      await metrics.registry.metrics(),
      `lavenderferry_steward_${sample}`,
    );
  });
}
