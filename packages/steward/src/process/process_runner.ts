import type { Clock, EffectHandlers } from "@lavenderferry/runtime";
import { createProgramLogger } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import type { ProcessEffect } from "./process_effect.ts";

/** Dependencies of the handlers of process effects. */
export interface ProcessRunnerOptions {
  readonly clock: Clock;
  /** Ends the process, at once or when the responses are written. */
  readonly exit: (immediate: boolean) => void;
}

/** Creates the handlers of timers, log lines and the exit. */
export function createProcessHandlers(
  { clock, exit }: ProcessRunnerOptions,
): EffectHandlers<StewardEvent, ProcessEffect> {
  const log = createProgramLogger("steward");
  return {
    set_timer: ({ timer, at }, dispatch) => {
      const delayMs = Math.max(0, at - clock.now().monotonic);
      setTimeout(() => dispatch({ kind: "timer_fired", timer }), delayMs);
    },
    log: ({ part, sentence, fields }) => log(part, sentence, fields),
    exit: ({ immediate }) => exit(immediate),
  };
}
