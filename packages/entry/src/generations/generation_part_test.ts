import fc from "fast-check";
import t from "tap";
import type { StreamToken } from "@lavenderferry/credentials";
import type { EntryEffect } from "../effects.ts";
import type { EntryEvent } from "../events.ts";
import { createFixture, reduceEvent } from "../fixtures/entry_fixture.ts";
import type { EntryState } from "../state.ts";
import type { Timer } from "../process/timers.ts";
import { timerPeriodsMs } from "../process/timers.ts";
import type { Token } from "./generation_event.ts";

const usage = {
  promptTokens: 1,
  cachedTokens: 0,
  recomputedTokens: 0,
  preemptions: 0,
};

/** One connection from an entry to an engine. */
interface Connection {
  readonly entry: EntryState;
  readonly attemptId: string;
  readonly generationId: string;
  readonly engine: string;
  nextIndex: number;
  open: boolean;
}

/** What one reader received on all its connections. */
interface Reader {
  readonly requestId: string;
  readonly deliverAtEnd: boolean;
  /** Number of tokens of the complete output. */
  readonly length: number;
  readonly tokens: { readonly generation: string; readonly token: Token }[];
  readerId: string;
  stream: StreamToken | null;
  /** `complete`, `disconnected` or a kind of error; `null` before the end. */
  end: string | null;
}

interface PendingTimer {
  readonly entry: EntryState;
  readonly timer: Timer;
  readonly at: number;
}

/**
 * Simulates engines and readers around entries, with events in any order.
 * Actions select an entry, engine, reader, connection or event by its index,
 * modulo their number.
 */
class Simulation {
  readonly readers: Reader[] = [];
  readonly delivered: {
    readonly entry: EntryState;
    readonly event: EntryEvent;
  }[] = [];
  readonly #entries: EntryState[] = [];
  readonly #engines = new Map<string, Map<string, number>>([
    ["engine-0", new Map()],
    ["engine-1", new Map()],
  ]);
  #connections: Connection[] = [];
  #timers: PendingTimer[] = [];
  #nowMs = 1_000;

  constructor(entries: number) {
    for (let index = 0; index < entries; index++) {
      this.#entries.push(this.#createEntry());
    }
  }

  request(entry: number, length: number, deliverAtEnd: boolean): void {
    const requestId = `r-${this.readers.length}`;
    const readerId = `${requestId}-0`;
    this.readers.push({
      requestId,
      deliverAtEnd,
      length,
      tokens: [],
      readerId,
      stream: null,
      end: null,
    });
    this.#send(this.#entry(entry), {
      kind: "generation_requested",
      readerId,
      requestId,
      workspace: "clinic",
      workClass: deliverAtEnd ? "summary" : "report",
      model: "base",
      prompt: String(length),
      maxTokens: length,
      stream: true,
      traceParent: undefined,
    });
  }

  /** Closes the reader's connection; it resumes at an entry. */
  reconnect(reader: number, entry: number): void {
    const target = this.readers[reader % Math.max(1, this.readers.length)];
    const last = target?.tokens.at(-1);
    if (target === undefined || target.end !== null) {
      return;
    }
    const { readerId, stream } = target;
    const previous = this.#entries.find((candidate) =>
      candidate.generationIdByReader.has(readerId)
    );
    if (stream === null || last === undefined) {
      return;
    }
    const index = target.tokens.length - 1;
    target.readerId = `${readerId}+`;
    if (previous !== undefined) {
      this.#send(previous, { kind: "reader_left", readerId });
    }
    this.#send(this.#entry(entry), {
      kind: "stream_resumed",
      readerId: target.readerId,
      position: { token: stream, index },
    });
  }

  /** Delivers the next tokens or the end of a connection. */
  deliver(connectionIndex: number, count: number): void {
    const connection = this.#findOpen(connectionIndex);
    if (connection === undefined) {
      return;
    }
    const { entry, attemptId, generationId, engine } = connection;
    const length = this.#engines.get(engine)?.get(generationId);
    if (length === undefined) {
      this.#failConnection(connection);
      return;
    }
    if (connection.nextIndex >= length) {
      connection.open = false;
      this.#send(entry, {
        kind: "engine_finished",
        attemptId,
        generationId,
        finishReason: "stop",
        usage: { ...usage, outputTokens: length },
      });
      return;
    }
    const until = Math.min(length, connection.nextIndex + count);
    const tokens = tokensOf(generationId, connection.nextIndex, until);
    connection.nextIndex = until;
    const event = {
      kind: "tokens_received",
      attemptId,
      generationId,
      tokens,
    } as const;
    this.delivered.push({ entry, event: { ...event } });
    this.#send(entry, event);
  }

  /** Drops tokens of a connection. */
  skip(connectionIndex: number, count: number): void {
    const connection = this.#findOpen(connectionIndex);
    if (connection !== undefined) {
      connection.nextIndex += count;
    }
  }

  cut(connectionIndex: number): void {
    const connection = this.#findOpen(connectionIndex);
    if (connection !== undefined) {
      this.#failConnection(connection);
    }
  }

  /** Delivers an event again. */
  repeat(eventIndex: number): void {
    const found =
      this.delivered[eventIndex % Math.max(1, this.delivered.length)];
    if (found !== undefined) {
      this.#send(found.entry, { ...found.event });
    }
  }

  /** Restarts an engine, which loses its generations. */
  restartEngine(engine: number): void {
    const name = `engine-${engine % 2}`;
    this.#engines.get(name)?.clear();
    for (const connection of [...this.#connections]) {
      if (connection.engine === name && connection.open) {
        this.#failConnection(connection);
      }
    }
  }

  /** Replaces an entry by a new process without its state. */
  crashEntry(entry: number): void {
    const crashed = this.#entry(entry);
    this.#entries[this.#entries.indexOf(crashed)] = this.#createEntry();
    this.#connections = this.#connections.filter((connection) =>
      connection.entry !== crashed
    );
    this.#timers = this.#timers.filter((timer) => timer.entry !== crashed);
    for (const reader of this.readers) {
      if (crashed.generationIdByReader.has(reader.readerId)) {
        this.#disconnectReader(reader, entry + 1);
      }
    }
  }

  /** Advances the clock and fires timers; delivers no tokens. */
  advance(milliseconds: number): void {
    this.#nowMs += milliseconds;
    const dueTimers = this.#timers.filter(({ at }) => at <= this.#nowMs);
    this.#timers = this.#timers.filter(({ at }) => at > this.#nowMs);
    for (const { entry, timer } of dueTimers) {
      this.#send(entry, { kind: "timer_fired", timer });
    }
    for (const entry of this.#entries) {
      const kinds = ["check_progress", "release_backlog"] as const;
      for (const kind of kinds) {
        this.#send(entry, { kind: "timer_fired", timer: { kind } });
      }
    }
  }

  stopEntry(entry: number): void {
    const stopped = this.#entry(entry);
    if (!stopped.stopping && entry % 4 === 0) {
      this.#send(stopped, { kind: "stop_requested" });
      const timer = { kind: "hand_over_streams" } as const;
      this.#send(stopped, { kind: "timer_fired", timer });
    }
  }

  finish(): void {
    const running = () => this.readers.some(({ end }) => end === null);
    for (
      let remainingRounds = 400;
      remainingRounds > 0 && running();
      remainingRounds--
    ) {
      for (const connection of [...this.#connections]) {
        if (connection.open) {
          this.deliver(this.#connections.indexOf(connection), 50);
        }
      }
      this.#connections = this.#connections.filter(({ open }) => open);
      this.advance(300);
    }
  }

  #apply(entry: EntryState, effect: EntryEffect): void {
    if (effect.kind === "start_generation") {
      const { request, address, attemptId } = effect;
      const engine = address.split(":")[0] ?? "";
      const { generationId, maxTokens } = request;
      this.#engines.get(engine)?.set(generationId, maxTokens);
      this.#connect({ entry, attemptId, generationId, engine, nextIndex: 0 });
    } else if (effect.kind === "resume_generation") {
      const { attemptId, generationId, from, address } = effect;
      const engine = address.split(":")[0] ?? "";
      if (this.#engines.get(engine)?.has(generationId)) {
        this.#connect({
          entry,
          attemptId,
          generationId,
          engine,
          nextIndex: from,
        });
      } else {
        const failure = { kind: "gone" } as const;
        this.#send(entry, {
          kind: "engine_failed",
          attemptId,
          generationId,
          failure,
        });
      }
    } else if (effect.kind === "cancel_generation") {
      this.#engines.get(effect.address.split(":")[0] ?? "")
        ?.delete(effect.generationId);
    } else if (effect.kind === "drop_attempt") {
      const found = this.#connections.find(({ attemptId }) =>
        attemptId === effect.attemptId
      );
      if (found !== undefined) {
        found.open = false;
      }
    } else if (effect.kind === "set_timer") {
      const { timer, at } = effect;
      if (!Object.hasOwn(timerPeriodsMs, timer.kind)) {
        this.#timers.push({ entry, timer, at });
      }
    } else if (effect.kind === "take_over") {
      this.#takeOver(entry, effect.address, effect.generationId);
    } else {
      this.#deliverToReader(effect);
    }
  }

  #takeOver(entry: EntryState, address: string, generationId: string): void {
    const previous = this.#entries.find((candidate) =>
      candidate.peerAddress === address
    );
    const generation = previous?.generations.get(generationId);
    if (previous !== undefined) {
      const by = entry.epoch;
      this.#send(previous, { kind: "generation_taken_over", generationId, by });
    }
    const chargedIndex = previous === undefined
      ? null
      : generation?.nextIndex ?? 0;
    this.#send(entry, {
      kind: "take_over_answered",
      generationId,
      chargedIndex,
    });
  }

  #deliverToReader(effect: EntryEffect): void {
    if (!("readerId" in effect)) {
      return;
    }
    const { readerId } = effect;
    const reader = this.readers.find((candidate) =>
      candidate.readerId === readerId
    );
    if (reader === undefined) {
      return;
    }
    if (effect.kind === "send_tokens" || effect.kind === "send_completion") {
      const generation = effect.stream.generationId;
      reader.stream = effect.stream;
      for (const token of effect.tokens) {
        reader.tokens.push({ generation, token });
      }
    }
    if (effect.kind === "finish_stream" || effect.kind === "send_completion") {
      reader.end = "complete";
    } else if (effect.kind === "fail_reader") {
      reader.end = effect.occurrence.kind;
    } else if (effect.kind === "move_reader") {
      this.#disconnectReader(reader, 1);
    }
  }

  /** A reader that has received no tokens cannot resume. */
  #disconnectReader(reader: Reader, entry: number): void {
    if (reader.tokens.length === 0) {
      reader.end = "disconnected";
    } else {
      this.reconnect(this.readers.indexOf(reader), entry);
    }
  }

  #connect(connection: Omit<Connection, "open">): void {
    this.#connections.push({ ...connection, open: true });
    const { entry, attemptId, generationId } = connection;
    this.#send(entry, { kind: "engine_accepted", attemptId, generationId });
  }

  #failConnection(connection: Connection): void {
    connection.open = false;
    const { entry, attemptId, generationId } = connection;
    const failure = { kind: "lost", reason: "connection" } as const;
    const kind = "engine_failed";
    this.#send(entry, { kind, attemptId, generationId, failure });
  }

  #findOpen(connectionIndex: number): Connection | undefined {
    const open = this.#connections.filter((connection) => connection.open);
    return open[connectionIndex % Math.max(1, open.length)];
  }

  #entry(index: number): EntryState {
    const found = this.#entries[index % this.#entries.length];
    if (found === undefined) {
      throw new Error("The simulation has no entries");
    }
    return found;
  }

  #createEntry(): EntryState {
    const at = { monotonic: this.#nowMs, wall: this.#nowMs };
    const epoch = `e${this.#nowMs}x${this.#entries.length}`;
    this.#nowMs += 1;
    return createFixture(epoch, at);
  }

  #send(entry: EntryState, event: EntryEvent): void {
    const at = { monotonic: this.#nowMs, wall: this.#nowMs };
    for (const effect of reduceEvent(entry, event, at)) {
      this.#apply(entry, effect);
    }
  }
}

function tokensOf(generation: string, from: number, until: number): Token[] {
  const tokens: Token[] = [];
  for (let index = from; index < until; index++) {
    tokens.push({ index, text: `${generation}/${index}` });
  }
  return tokens;
}

const indexArbitrary = fc.nat(40);

const actionArbitrary = fc.oneof(
  {
    weight: 2,
    arbitrary: fc.tuple(
      fc.constant("request"),
      fc.nat(1),
      fc.integer({ min: 1, max: 30 }),
    ),
  },
  {
    weight: 8,
    arbitrary: fc.tuple(
      fc.constant("deliver"),
      indexArbitrary,
      fc.integer({ min: 1, max: 5 }),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(
      fc.constantFrom(
        "skip",
        "cut",
        "repeat",
        "restartEngine",
        "crashEntry",
        "reconnect",
        "advance",
        "stopEntry",
      ),
      indexArbitrary,
      fc.integer({ min: 1, max: 5 }),
    ),
  },
);

type Action = readonly [string, number, number];

const actions: Readonly<
  Record<
    string,
    (simulation: Simulation, first: number, second: number) => void
  >
> = {
  request: (simulation, entry, length) =>
    simulation.request(entry, length, length % 3 === 0),
  deliver: (simulation, first, second) => simulation.deliver(first, second),
  skip: (simulation, first, second) => simulation.skip(first, second),
  cut: (simulation, first) => simulation.cut(first),
  repeat: (simulation, first) => simulation.repeat(first),
  restartEngine: (simulation, first) => simulation.restartEngine(first),
  crashEntry: (simulation, first) => simulation.crashEntry(first),
  reconnect: (simulation, first, second) => simulation.reconnect(first, second),
  advance: (simulation, _first, second) => simulation.advance(second * 700),
  stopEntry: (simulation, first) => simulation.stopEntry(first),
};

function run(chosen: readonly Action[]): Simulation {
  const simulation = new Simulation(2);
  for (const [name, first, second] of chosen) {
    actions[name]?.(simulation, first, second);
  }
  simulation.finish();
  return simulation;
}

/** Returns how the output of a reader is wrong; `null` if it is right. */
function findViolation(
  { tokens, end, length, deliverAtEnd }: Reader,
): string | null {
  const generation = tokens[0]?.generation ?? "";
  const expected = tokensOf(generation, 0, tokens.length);
  if (
    tokens.some((received, index) =>
      received.generation !== generation ||
      received.token.text !== expected[index]?.text
    )
  ) {
    return "wrong token";
  }
  if (end === null) {
    return "no end";
  }
  if (end === "complete" && tokens.length !== length) {
    return "missing tokens";
  }
  if (end === "generation_lost" && (deliverAtEnd || tokens.length === 0)) {
    return "lost before delivery";
  }
  return null;
}

t.test("a reader never receives a wrong token or end", (t) => {
  const property = fc.property(
    fc.array(actionArbitrary, { maxLength: 60, size: "max" }),
    (chosen) => {
      const violations = run(chosen).readers.map(findViolation);
      return violations.every((violation) => violation === null);
    },
  );
  t.doesNotThrow(() => fc.assert(property, { seed: 4, numRuns: 1_000 }));
  t.end();
});

const requestStream: Action = ["request", 0, 10];
const requestDeliveredAtEnd: Action = ["request", 0, 9];
const deliverSome: Action = ["deliver", 0, 4];

const cases: Record<
  string,
  { actions: readonly Action[]; end: string; tokens: number }
> = {
  "a stream is delivered completely": {
    actions: [requestStream],
    end: "complete",
    tokens: 10,
  },
  "lost tokens are read again": {
    actions: [requestStream, deliverSome, ["skip", 0, 2], deliverSome],
    end: "complete",
    tokens: 10,
  },
  "repeated tokens are ignored": {
    actions: [requestStream, deliverSome, ["repeat", 0, 0]],
    end: "complete",
    tokens: 10,
  },
  "a lost connection is replaced": {
    actions: [requestStream, deliverSome, ["cut", 0, 0]],
    end: "complete",
    tokens: 10,
  },
  "a generation stays at an engine that sends nothing": {
    actions: [
      requestStream,
      deliverSome,
      ...Array<Action>(20).fill(["advance", 0, 3]),
    ],
    end: "complete",
    tokens: 10,
  },
  "a stream fails if its engine restarts after the first token": {
    actions: [
      requestStream,
      deliverSome,
      ["restartEngine", 0, 0],
      ["restartEngine", 1, 0],
    ],
    end: "generation_lost",
    tokens: 4,
  },
  "a stream starts again if its engine restarts before the first token": {
    actions: [requestStream, ["restartEngine", 0, 0], ["restartEngine", 1, 0]],
    end: "complete",
    tokens: 10,
  },
  "an answer delivered at the end starts again after engine restarts": {
    actions: [
      requestDeliveredAtEnd,
      deliverSome,
      ["restartEngine", 0, 0],
      ["restartEngine", 1, 0],
      ["advance", 0, 3],
      deliverSome,
      ["restartEngine", 0, 0],
      ["restartEngine", 1, 0],
    ],
    end: "complete",
    tokens: 9,
  },
  "another entry resumes a stream and the first one does not cancel it": {
    actions: [
      requestStream,
      deliverSome,
      ["reconnect", 0, 1],
      ["advance", 0, 5],
      ["advance", 0, 5],
    ],
    end: "complete",
    tokens: 10,
  },
  "a stream is resumed after the crash of its entry": {
    actions: [requestStream, deliverSome, ["crashEntry", 0, 0]],
    end: "complete",
    tokens: 10,
  },
  "a reader resumes at another entry after the stop deadline": {
    actions: [requestStream, deliverSome, ["stopEntry", 0, 0]],
    end: "complete",
    tokens: 10,
  },
};

for (const [name, expected] of Object.entries(cases)) {
  t.test(name, (t) => {
    const [reader] = run(expected.actions).readers;
    t.equal(reader?.end, expected.end);
    t.equal(reader?.tokens.length, expected.tokens);
    t.end();
  });
}
