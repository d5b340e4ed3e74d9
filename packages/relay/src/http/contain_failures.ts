import type { Dispatch, EffectHandlers, Tagged } from "@lavenderferry/runtime";

/** Handles an exception of the handler of an effect. */
type FailureHandler<Event extends Tagged, Effect extends Tagged> = (
  effect: Effect,
  error: unknown,
  dispatch: Dispatch<Event>,
) => void;

/**
 * Wraps handlers so that an exception of one is handled where its effect is,
 * and does not end the process. Events that handlers dispatch are reduced later,
 * so an exception of the reducer is not caught.
 */
export function containFailures<Event extends Tagged, Effect extends Tagged>(
  handlers: EffectHandlers<Event, Effect>,
  onFailure: FailureHandler<Event, Effect>,
): EffectHandlers<Event, Effect> {
  const contained = Object.entries(handlers).map(([kind, value]) => {
    const handle = value as (effect: Effect, dispatch: Dispatch<Event>) => void;
    return [kind, (effect: Effect, dispatch: Dispatch<Event>): void => {
      try {
        handle(effect, dispatch);
      } catch (error) {
        onFailure(effect, error, dispatch);
      }
    }] as const;
  });
  const table: unknown = Object.fromEntries(contained);
  return table as EffectHandlers<Event, Effect>;
}
