import type {
  Clock,
  DecisionLog,
  EffectHandlers,
} from "@lavenderferry/runtime";
import { SocketDeadline } from "@lavenderferry/runtime";
import type { CallerExchanges } from "../http/caller_exchanges.ts";
import type { FrontServer } from "../http/front_server.ts";
import type { ProcessEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";
import type { RelayMetrics } from "./metrics.ts";

/** Dependencies of the handlers of process effects. */
export interface ProcessRunnerOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: RelayMetrics;
  readonly exchanges: CallerExchanges;
  /** Returns the callers' server, which is created after the handlers. */
  readonly front: () => FrontServer;
  /** Ends the process. */
  readonly exit: () => void;
}

/**
 * Creates the handlers of timers, metrics, the decision log, the callers'
 * connections and the exit.
 */
export function createProcessHandlers(
  { clock, log, metrics, exchanges, front, exit }: ProcessRunnerOptions,
): EffectHandlers<RelayEvent, ProcessEffect> {
  return {
    set_timer: ({ timer, at }, dispatch) => {
      const delayMs = Math.max(0, at - clock.now().monotonic);
      new SocketDeadline(
        delayMs,
        () => dispatch({ kind: "timer_fired", timer }),
      );
    },
    log_decision: ({ decision }) => log.write(decision),
    count: ({ counter, reason }) => {
      metrics.counters[counter].inc({ reason });
    },
    observe: ({ route, milliseconds }) => {
      metrics.answerMs.observe({ route }, milliseconds);
    },
    observe_report: ({ ageMs }) => metrics.reportAgeMs.observe(ageMs),
    apply_limits: (limits) => front().applyLimits(limits),
    close_caller_connections: () => {
      exchanges.closing = true;
    },
    exit: ({ deadline }) => {
      const timeoutMs = Math.max(
        0,
        Math.ceil(deadline - clock.now().monotonic),
      );
      void exchanges.waitUntilWritten(timeoutMs).then(exit);
    },
  };
}
