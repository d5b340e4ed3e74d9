import { setImmediate } from "node:timers/promises";

/** Work in short steps; it yields after each of them. */
export type Steps<Result> = Generator<undefined, Result, undefined>;

/** Items that are handled in one step. */
const itemsPerStep = 16;

/**
 * Milliseconds after which work lets other events run. A third of a core then
 * stands still for less than ten milliseconds.
 */
const turnMs = 2;

/** Handles items in order, a few in each step. */
export function* handleInSteps<Item>(
  items: Iterable<Item>,
  handle: (item: Item) => void,
): Steps<void> {
  let count = 0;
  for (const item of items) {
    handle(item);
    count += 1;
    if (count % itemsPerStep === 0) {
      yield;
    }
  }
}

/** Converts items in order, each in steps of its own. */
export function* mapInSteps<Item, Result>(
  items: Iterable<Item>,
  convert: (item: Item) => Steps<Result>,
): Steps<Result[]> {
  const results: Result[] = [];
  for (const item of items) {
    results.push(yield* convert(item));
    yield;
  }
  return results;
}

/** Runs all steps, and lets other events run every few milliseconds. */
export async function runInTurns<Result>(
  steps: Steps<Result>,
): Promise<Result> {
  let turnEndsAt = performance.now() + turnMs;
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
    if (performance.now() >= turnEndsAt) {
      await setImmediate();
      turnEndsAt = performance.now() + turnMs;
    }
  }
}

/** Runs all steps at once. */
export function runAtOnce<Result>(steps: Steps<Result>): Result {
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
  }
}
