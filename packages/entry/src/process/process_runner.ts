import type { Clock, EffectHandlers } from "@lavenderferry/runtime";
import { createProgramLogger } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import type { EntryMetrics } from "./metrics.ts";
import type { ProcessEffect } from "./process_effect.ts";

type ProcessHandlers = EffectHandlers<EntryEvent, ProcessEffect>;

/** Dependencies of the process effects. */
export interface ProcessRunnerOptions {
  readonly clock: Clock;
  readonly metrics: EntryMetrics;
  /** Ends the process, at once or when the responses are written. */
  readonly exit: (immediate: boolean) => void;
}

/** Creates the handlers of timers, counters, logs and the exit. */
export function createProcessHandlers(
  { clock, metrics, exit }: ProcessRunnerOptions,
): ProcessHandlers {
  const log = createProgramLogger("entry");
  return {
    set_timer: ({ timer, at }, dispatch) => {
      const delayMs = Math.max(0, at - clock.now().monotonic);
      setTimeout(() => dispatch({ kind: "timer_fired", timer }), delayMs);
    },
    count: ({ counter, reason, amount }) => {
      metrics.counters[counter].inc({ reason }, amount);
    },
    observe: ({ histogram, workClass, milliseconds }) => {
      metrics.histograms[histogram].observe({ class: workClass }, milliseconds);
    },
    log: ({ part, sentence, fields }) => log(part, sentence, fields),
    exit: ({ immediate }) => exit(immediate),
  };
}
