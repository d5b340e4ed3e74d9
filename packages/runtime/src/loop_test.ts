import t from "tap";
import type { Timed } from "./loop.ts";
import { createReducer, Loop } from "./loop.ts";

type Event =
  | { readonly kind: "asked"; readonly depth: number }
  | { readonly kind: "answered"; readonly depth: number };

type Effect = { readonly kind: "answer"; readonly depth: number };

interface State {
  readonly reducedEvents: string[];
}

function recordEvent(state: State, event: Timed<Event>): void {
  state.reducedEvents.push(
    `${event.kind} ${event.depth} at ${event.at.monotonic}`,
  );
}

const reduce = createReducer<State, Event, Effect>({
  asked: (state, event) => {
    recordEvent(state, event);
    return [
      { kind: "answer", depth: event.depth },
      { kind: "answer", depth: event.depth + 1 },
    ];
  },
  answered: (state, event) => {
    recordEvent(state, event);
    return [];
  },
});

function createLoop(): Loop<State, Event, Effect> {
  let time = 0;
  return new Loop<State, Event, Effect>({
    clock: { now: () => ({ monotonic: ++time, wall: 0 }) },
    state: { reducedEvents: [] },
    reduce,
    handlers: {
      answer: ({ depth }, dispatch) => dispatch({ kind: "answered", depth }),
    },
  });
}

t.test("an event that an effect dispatches is queued", (t) => {
  const loop = createLoop();
  loop.dispatch({ kind: "asked", depth: 0 });
  loop.dispatch({ kind: "asked", depth: 5 });
  t.strictSame(loop.state.reducedEvents, [
    "asked 0 at 1",
    "answered 0 at 2",
    "answered 1 at 3",
    "asked 5 at 4",
    "answered 5 at 5",
    "answered 6 at 6",
  ]);
  t.end();
});

t.test("an event without a handler throws", (t) => {
  const loop = createLoop();
  t.throws(() => loop.dispatch({ kind: "lost" } as never), {
    message: 'No handler exists for the event "lost"',
  });
  loop.dispatch({ kind: "answered", depth: 1 });
  t.equal(loop.state.reducedEvents.length, 1, "later events are still reduced");
  t.end();
});
