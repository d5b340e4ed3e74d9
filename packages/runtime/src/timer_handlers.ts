import type { Moment } from "./clock.ts";
import type { Tagged } from "./loop.ts";

/** One handler for each kind of timer. */
export type TimerHandlers<State, Timer extends Tagged, Effect extends Tagged> =
  {
    readonly [Kind in Timer["kind"]]: (
      state: State,
      timer: Extract<Timer, { kind: Kind }>,
      at: Moment,
    ) => readonly Effect[];
  };

/** Creates a function that calls the handler of each timer's kind. */
export function createTimerHandler<
  State,
  Timer extends Tagged,
  Effect extends Tagged,
>(
  handlers: TimerHandlers<State, Timer, Effect>,
): (state: State, timer: Timer, at: Moment) => readonly Effect[] {
  const table = handlers as unknown as Record<
    Timer["kind"],
    (state: State, timer: Timer, at: Moment) => readonly Effect[]
  >;
  return (state, timer, at) =>
    table[timer.kind as Timer["kind"]](
      state,
      timer,
      at,
    );
}
