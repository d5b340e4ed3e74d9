import type {
  Clock,
  DecisionLog,
  EffectHandlers,
} from "@lavenderferry/runtime";
import type { CallerExchanges } from "../http/caller_exchanges.ts";
import type { FrontServer } from "../http/front_server.ts";
import type { ProcessEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";
import type { RelayMetrics } from "./metrics.ts";

/** What the effects on the process need. */
export interface ProcessRunnerOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: RelayMetrics;
  readonly exchanges: CallerExchanges;
  readonly front: () => FrontServer;
  /** Ends the process. */
  readonly exit: () => void;
}

/** Creates the handlers of timers, counters, logs and the exit. */
export function createProcessHandlers(
  { clock, log, metrics, exchanges, front, exit }: ProcessRunnerOptions,
): EffectHandlers<RelayEvent, ProcessEffect> {
  return {
    set_timer: ({ timer, at }, dispatch) => {
      const wait = Math.max(0, at - clock.now().monotonic);
      // The listening sockets keep the process alive, not its timers.
      setTimeout(() => dispatch({ kind: "timer_fired", timer }), wait).unref();
    },
    log_decision: ({ decision }) => log.write(decision),
    count: ({ counter, reason }) => {
      metrics.counters[counter].inc({ reason });
    },
    observe: ({ route, milliseconds }) => {
      metrics.answers.observe({ route }, milliseconds);
    },
    apply_limits: (limits) => front().limit(limits),
    close_callers: () => {
      exchanges.closing = true;
    },
    exit,
  };
}
