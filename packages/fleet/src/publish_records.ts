import type {
  LengthSketch,
  RequestLimitRecord__Output,
  SuspectBlockRecord,
} from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import type { Exchange } from "./exchange.ts";
import type { LengthCounts } from "./fleet_updates.ts";
import type { SuspectRecord } from "./suspect_record.ts";

/** Publishes counts of output lengths that changed. */
export function publishLengths(
  exchange: Exchange,
  sketches: readonly LengthCounts[],
  at: Moment,
): void {
  for (const { workClass, model, counts } of sketches) {
    const key = `${workClass}\n${model}`;
    const value: LengthSketch = { workClass, model, counts: [...counts] };
    exchange.publish("lengths", { key, value }, { at });
  }
}

/** Publishes a changed record of a suspect block. */
export function publishSuspect(
  exchange: Exchange,
  record: SuspectRecord,
  at: Moment,
): void {
  const { block: key, ends } = record;
  const value: SuspectBlockRecord = { ...record, ends: [...ends] };
  exchange.publish("suspects", { key, value }, { at, urgent: true });
}

/** Publishes a changed record of a limit on requests. */
export function publishLimit(
  exchange: Exchange,
  value: RequestLimitRecord__Output,
  at: Moment,
): void {
  const { upstream: key } = value;
  exchange.publish("limits", { key, value }, { at, urgent: true });
}
