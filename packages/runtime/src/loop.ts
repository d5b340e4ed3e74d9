import type { Clock, Moment } from "./clock.ts";

/** A member of a union that is discriminated by `kind`. */
export interface Tagged {
  readonly kind: string;
}

/** An event with the time at which its reduction starts. */
export type Timed<Event> = Event & { readonly at: Moment };

/** Returns the effects of one event; may update the state in place. */
export type Reducer<State, Event extends Tagged, Effect extends Tagged> = (
  state: State,
  event: Timed<Event>,
) => readonly Effect[];

/** Enqueues an event for the loop. */
export type Dispatch<Event extends Tagged> = (event: Event) => void;

/** One handler for each kind of effect. */
export type EffectHandlers<Event extends Tagged, Effect extends Tagged> = {
  readonly [Kind in Effect["kind"]]: (
    effect: Extract<Effect, { kind: Kind }>,
    dispatch: Dispatch<Event>,
  ) => void;
};

/** One handler for each kind of event that a part of a reducer accepts. */
export type EventHandlers<State, Event extends Tagged, Effect extends Tagged> =
  {
    readonly [Kind in Event["kind"]]: (
      state: State,
      event: Timed<Extract<Event, { kind: Kind }>>,
    ) => readonly Effect[];
  };

/** Dependencies and initial state of a loop. */
export interface LoopOptions<
  State,
  Event extends Tagged,
  Effect extends Tagged,
> {
  readonly clock: Clock;
  readonly state: State;
  readonly reduce: Reducer<State, Event, Effect>;
  readonly handlers: EffectHandlers<Event, Effect>;
}

/** Creates a reducer that calls the handler of each event's kind. */
export function createReducer<
  State,
  Event extends Tagged,
  Effect extends Tagged,
>(
  handlers: EventHandlers<State, Event, Effect>,
): Reducer<State, Event, Effect> {
  const table = handlers as unknown as Record<
    string,
    (state: State, event: Timed<Event>) => readonly Effect[]
  >;
  return function reduce(state, event) {
    const handler = table[event.kind];
    if (handler === undefined) {
      throw new TypeError(`No handler exists for the event "${event.kind}"`);
    }
    return handler(state, event);
  };
}

/**
 * Runs one reducer over all events of a process, one event at a time.
 * An event dispatched while another is reduced is queued.
 */
export class Loop<State, Event extends Tagged, Effect extends Tagged> {
  readonly #clock: Clock;
  readonly #reduce: Reducer<State, Event, Effect>;
  readonly #handlers: Record<
    string,
    (effect: Effect, dispatch: Dispatch<Event>) => void
  >;
  readonly #pending: Event[] = [];
  #running = false;
  readonly state: State;

  constructor(options: LoopOptions<State, Event, Effect>) {
    this.#clock = options.clock;
    this.#reduce = options.reduce;
    this.#handlers = options.handlers as unknown as Record<
      string,
      (effect: Effect, dispatch: Dispatch<Event>) => void
    >;
    this.state = options.state;
  }

  /** Reduces an event and runs its effects; queues it if one is in progress. */
  readonly dispatch = (event: Event): void => {
    this.#pending.push(event);
    if (this.#running) {
      return;
    }
    this.#running = true;
    try {
      this.#drain();
    } finally {
      this.#running = false;
    }
  };

  #drain(): void {
    for (
      let event = this.#pending.shift();
      event !== undefined;
      event = this.#pending.shift()
    ) {
      const timed = Object.assign(event, { at: this.#clock.now() });
      for (const effect of this.#reduce(this.state, timed)) {
        this.#handlers[effect.kind]?.(effect, this.dispatch);
      }
    }
  }
}
