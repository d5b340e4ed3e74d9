import t from "tap";
import type { Timed } from "./loop.ts";
import { Loop, reducerOf } from "./loop.ts";

type Event =
  | { readonly kind: "asked"; readonly depth: number }
  | { readonly kind: "answered"; readonly depth: number };

type Effect = { readonly kind: "answer"; readonly depth: number };

interface State {
  readonly seen: string[];
}

function see(state: State, event: Timed<Event>): void {
  state.seen.push(`${event.kind} ${event.depth} at ${event.at.monotonic}`);
}

const reduce = reducerOf<State, Event, Effect>({
  asked: (state, event) => {
    see(state, event);
    return [
      { kind: "answer", depth: event.depth },
      { kind: "answer", depth: event.depth + 1 },
    ];
  },
  answered: (state, event) => {
    see(state, event);
    return [];
  },
});

function createLoop(): Loop<State, Event, Effect> {
  let time = 0;
  return new Loop<State, Event, Effect>({
    clock: { now: () => ({ monotonic: ++time, wall: 0 }) },
    state: { seen: [] },
    reduce,
    handlers: {
      answer: ({ depth }, dispatch) => dispatch({ kind: "answered", depth }),
    },
  });
}

t.test("an event that an effect dispatches waits for its turn", (t) => {
  const loop = createLoop();
  loop.dispatch({ kind: "asked", depth: 0 });
  loop.dispatch({ kind: "asked", depth: 5 });
  t.strictSame(loop.state.seen, [
    "asked 0 at 1",
    "answered 0 at 2",
    "answered 1 at 3",
    "asked 5 at 4",
    "answered 5 at 5",
    "answered 6 at 6",
  ]);
  t.end();
});

t.test("an event without a handler is a defect", (t) => {
  const loop = createLoop();
  t.throws(() => loop.dispatch({ kind: "lost" } as never), {
    message: 'No handler exists for the event "lost"',
  });
  loop.dispatch({ kind: "answered", depth: 1 });
  t.equal(loop.state.seen.length, 1, "the loop goes on");
  t.end();
});
