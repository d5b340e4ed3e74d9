import fc from "fast-check";
import t from "tap";
import type { StreamToken } from "@lavenderferry/credentials";
import type { EntryEffect } from "../effects.ts";
import type { EntryEvent } from "../events.ts";
import { createFixture, send } from "../fixtures/entry_fixture.ts";
import type { EntryState } from "../state.ts";
import type { TimerName } from "../process/timers.ts";
import { timerPeriods } from "../process/timers.ts";
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
  next: number;
  open: boolean;
}

/** What one reader was sent, over all its connections. */
interface Reader {
  readonly requestId: string;
  readonly whole: boolean;
  readonly length: number;
  readonly tokens: { readonly generation: string; readonly token: Token }[];
  readerId: string;
  stream: StreamToken | null;
  end: string | null;
}

interface Due {
  readonly entry: EntryState;
  readonly timer: TimerName;
  readonly at: number;
}

/** Entries, engines and readers, with events in any order. */
class World {
  readonly readers: Reader[] = [];
  readonly late: { readonly entry: EntryState; readonly event: EntryEvent }[] =
    [];
  readonly #entries: EntryState[] = [];
  readonly #engines = new Map<string, Map<string, number>>([
    ["engine-0", new Map()],
    ["engine-1", new Map()],
  ]);
  #connections: Connection[] = [];
  #timers: Due[] = [];
  #now = 1_000;

  constructor(entries: number) {
    for (let index = 0; index < entries; index++) {
      this.#entries.push(this.#spawn());
    }
  }

  request(entry: number, length: number, whole: boolean): void {
    const requestId = `r-${this.readers.length}`;
    const readerId = `${requestId}-0`;
    this.readers.push({
      requestId,
      whole,
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
      workClass: whole ? "summary" : "report",
      model: "base",
      prompt: String(length),
      maxTokens: length,
      stream: true,
      traceParent: undefined,
    });
  }

  /** The reader's connection breaks and it goes on at an entry. */
  reconnect(reader: number, entry: number): void {
    const found = this.readers[reader % Math.max(1, this.readers.length)];
    const last = found?.tokens.at(-1);
    if (found === undefined || found.end !== null) {
      return;
    }
    const { readerId, stream } = found;
    const holder = this.#entries.find((each) => each.readers.has(readerId));
    if (stream === null || last === undefined) {
      return;
    }
    const index = found.tokens.length - 1;
    found.readerId = `${readerId}+`;
    if (holder !== undefined) {
      this.#send(holder, { kind: "reader_left", readerId });
    }
    this.#send(this.#entry(entry), {
      kind: "stream_resumed",
      readerId: found.readerId,
      position: { token: stream, index },
    });
  }

  /** Takes the next tokens or the end of a connection. */
  deliver(pick: number, count: number): void {
    const connection = this.#pick(pick);
    if (connection === undefined) {
      return;
    }
    const { entry, attemptId, generationId, engine } = connection;
    const length = this.#engines.get(engine)?.get(generationId);
    if (length === undefined) {
      this.#lose(connection);
      return;
    }
    if (connection.next >= length) {
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
    const until = Math.min(length, connection.next + count);
    const tokens = tokensOf(generationId, connection.next, until);
    connection.next = until;
    const event = {
      kind: "tokens_received",
      attemptId,
      generationId,
      tokens,
    } as const;
    this.late.push({ entry, event: { ...event } });
    this.#send(entry, event);
  }

  /** Loses tokens of a connection. */
  skip(pick: number, count: number): void {
    const connection = this.#pick(pick);
    if (connection !== undefined) {
      connection.next += count;
    }
  }

  cut(pick: number): void {
    const connection = this.#pick(pick);
    if (connection !== undefined) {
      this.#lose(connection);
    }
  }

  /** Repeats an event that was delivered before. */
  repeat(pick: number): void {
    const found = this.late[pick % Math.max(1, this.late.length)];
    if (found !== undefined) {
      this.#send(found.entry, { ...found.event });
    }
  }

  /** An engine dies and starts again empty. */
  kill(engine: number): void {
    const name = `engine-${engine % 2}`;
    this.#engines.get(name)?.clear();
    for (const connection of [...this.#connections]) {
      if (connection.engine === name && connection.open) {
        this.#lose(connection);
      }
    }
  }

  /** An entry dies; another process takes its place. */
  crash(entry: number): void {
    const died = this.#entry(entry);
    this.#entries[this.#entries.indexOf(died)] = this.#spawn();
    this.#connections = this.#connections.filter((each) => each.entry !== died);
    this.#timers = this.#timers.filter((each) => each.entry !== died);
    for (const reader of this.readers) {
      if (died.readers.has(reader.readerId)) {
        this.#breakReader(reader, entry + 1);
      }
    }
  }

  /** Time passes without tokens. */
  silence(milliseconds: number): void {
    this.#now += milliseconds;
    const due = this.#timers.filter(({ at }) => at <= this.#now);
    this.#timers = this.#timers.filter(({ at }) => at > this.#now);
    for (const { entry, timer } of due) {
      this.#send(entry, { kind: "timer_fired", timer });
    }
    for (const entry of this.#entries) {
      const kinds = ["watch_progress", "pump_backlog"] as const;
      for (const kind of kinds) {
        this.#send(entry, { kind: "timer_fired", timer: { kind } });
      }
    }
  }

  stop(entry: number): void {
    const stopped = this.#entry(entry);
    if (!stopped.stopping && entry % 4 === 0) {
      this.#send(stopped, { kind: "stop_requested" });
      const timer = { kind: "stop_deadline" } as const;
      this.#send(stopped, { kind: "timer_fired", timer });
    }
  }

  settle(): void {
    const running = () => this.readers.some(({ end }) => end === null);
    for (let left = 400; left > 0 && running(); left--) {
      for (const connection of [...this.#connections]) {
        if (connection.open) {
          this.deliver(this.#connections.indexOf(connection), 50);
        }
      }
      this.#connections = this.#connections.filter(({ open }) => open);
      this.silence(300);
    }
  }

  #take(entry: EntryState, effect: EntryEffect): void {
    if (effect.kind === "start_generation") {
      const { request, address, attemptId } = effect;
      const engine = address.split(":")[0] ?? "";
      const { generationId, maxTokens } = request;
      this.#engines.get(engine)?.set(generationId, maxTokens);
      this.#connect({ entry, attemptId, generationId, engine, next: 0 });
    } else if (effect.kind === "resume_generation") {
      const { attemptId, generationId, from, address } = effect;
      const engine = address.split(":")[0] ?? "";
      if (this.#engines.get(engine)?.has(generationId)) {
        this.#connect({ entry, attemptId, generationId, engine, next: from });
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
      if (!Object.hasOwn(timerPeriods, timer.kind)) {
        this.#timers.push({ entry, timer, at });
      }
    } else if (effect.kind === "take_over") {
      this.#takeOver(entry, effect.address, effect.generationId);
    } else {
      this.#read(effect);
    }
  }

  #takeOver(entry: EntryState, address: string, generationId: string): void {
    const carrier = this.#entries.find((each) => each.carrier === address);
    const held = carrier?.generations.get(generationId);
    if (carrier !== undefined) {
      const by = entry.epoch;
      this.#send(carrier, { kind: "generation_taken_over", generationId, by });
    }
    const charged = carrier === undefined ? null : held?.nextIndex ?? 0;
    this.#send(entry, { kind: "take_over_answered", generationId, charged });
  }

  #read(effect: EntryEffect): void {
    if (!("readerId" in effect)) {
      return;
    }
    const { readerId } = effect;
    const reader = this.readers.find((each) => each.readerId === readerId);
    if (reader === undefined) {
      return;
    }
    if (effect.kind === "send_tokens" || effect.kind === "send_whole") {
      const generation = effect.stream.generationId;
      reader.stream = effect.stream;
      for (const token of effect.tokens) {
        reader.tokens.push({ generation, token });
      }
    }
    if (effect.kind === "finish_stream" || effect.kind === "send_whole") {
      reader.end = "whole";
    } else if (effect.kind === "fail_reader") {
      reader.end = effect.occurrence.kind;
    } else if (effect.kind === "move_reader") {
      this.#breakReader(reader, 1);
    }
  }

  /** A reader without tokens has nothing to go on from. */
  #breakReader(reader: Reader, entry: number): void {
    if (reader.tokens.length === 0) {
      reader.end = "broken";
    } else {
      this.reconnect(this.readers.indexOf(reader), entry);
    }
  }

  #connect(connection: Omit<Connection, "open">): void {
    this.#connections.push({ ...connection, open: true });
    const { entry, attemptId, generationId } = connection;
    this.#send(entry, { kind: "engine_attached", attemptId, generationId });
  }

  #lose(connection: Connection): void {
    connection.open = false;
    const { entry, attemptId, generationId } = connection;
    const failure = { kind: "lost", reason: "connection" } as const;
    const kind = "engine_failed";
    this.#send(entry, { kind, attemptId, generationId, failure });
  }

  #pick(pick: number): Connection | undefined {
    const open = this.#connections.filter((each) => each.open);
    return open[pick % Math.max(1, open.length)];
  }

  #entry(index: number): EntryState {
    const found = this.#entries[index % this.#entries.length];
    if (found === undefined) {
      throw new Error("The world has no entries");
    }
    return found;
  }

  #spawn(): EntryState {
    const at = { monotonic: this.#now, wall: this.#now };
    const epoch = `e${this.#now}x${this.#entries.length}`;
    this.#now += 1;
    return createFixture(epoch, at);
  }

  #send(entry: EntryState, event: EntryEvent): void {
    const at = { monotonic: this.#now, wall: this.#now };
    for (const effect of send(entry, event, at)) {
      this.#take(entry, effect);
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

const pick = fc.nat(40);

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
      pick,
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
        "kill",
        "crash",
        "reconnect",
        "silence",
        "stop",
      ),
      pick,
      fc.integer({ min: 1, max: 5 }),
    ),
  },
);

type Action = readonly [string, number, number];

const actions: Readonly<
  Record<string, (world: World, first: number, second: number) => void>
> = {
  request: (world, entry, length) =>
    world.request(entry, length, length % 3 === 0),
  deliver: (world, first, second) => world.deliver(first, second),
  skip: (world, first, second) => world.skip(first, second),
  cut: (world, first) => world.cut(first),
  repeat: (world, first) => world.repeat(first),
  kill: (world, first) => world.kill(first),
  crash: (world, first) => world.crash(first),
  reconnect: (world, first, second) => world.reconnect(first, second),
  silence: (world, _first, second) => world.silence(second * 700),
  stop: (world, first) => world.stop(first),
};

function play(chosen: readonly Action[]): World {
  const world = new World(2);
  for (const [name, first, second] of chosen) {
    actions[name]?.(world, first, second);
  }
  world.settle();
  return world;
}

/** Returns what is wrong with what a reader was sent. */
function faultOf({ tokens, end, length, whole }: Reader): string | null {
  const generation = tokens[0]?.generation ?? "";
  const expected = tokensOf(generation, 0, tokens.length);
  if (
    tokens.some((each, index) =>
      each.generation !== generation ||
      each.token.text !== expected[index]?.text
    )
  ) {
    return "tokens";
  }
  if (end === null) {
    return "no end";
  }
  if (end === "whole" && tokens.length !== length) {
    return "short";
  }
  if (end === "generation_lost" && (whole || tokens.length === 0)) {
    return "lost before delivery";
  }
  return null;
}

t.test("a reader never gets a wrong token or end", (t) => {
  const property = fc.property(
    fc.array(actionArbitrary, { maxLength: 60, size: "max" }),
    (chosen) => {
      const faults = play(chosen).readers.map(faultOf);
      return faults.every((fault) => fault === null);
    },
  );
  t.doesNotThrow(() => fc.assert(property, { seed: 4, numRuns: 1_000 }));
  t.end();
});

const stream: Action = ["request", 0, 10];
const summary: Action = ["request", 0, 9];
const some: Action = ["deliver", 0, 4];

const cases: Record<
  string,
  { actions: readonly Action[]; end: string; tokens: number }
> = {
  "a stream ends whole": { actions: [stream], end: "whole", tokens: 10 },
  "tokens that were lost are read again": {
    actions: [stream, some, ["skip", 0, 2], some],
    end: "whole",
    tokens: 10,
  },
  "repeated tokens are dropped": {
    actions: [stream, some, ["repeat", 0, 0]],
    end: "whole",
    tokens: 10,
  },
  "a cut connection is replaced": {
    actions: [stream, some, ["cut", 0, 0]],
    end: "whole",
    tokens: 10,
  },
  "a silent engine keeps its generation": {
    actions: [stream, some, ...Array<Action>(20).fill(["silence", 0, 3])],
    end: "whole",
    tokens: 10,
  },
  "a stream whose engine died ends with its kind": {
    actions: [stream, some, ["kill", 0, 0], ["kill", 1, 0]],
    end: "generation_lost",
    tokens: 4,
  },
  "a stream that was not delivered is replaced": {
    actions: [stream, ["kill", 0, 0], ["kill", 1, 0]],
    end: "whole",
    tokens: 10,
  },
  "a whole answer survives the deaths of its engines": {
    actions: [
      summary,
      some,
      ["kill", 0, 0],
      ["kill", 1, 0],
      ["silence", 0, 3],
      some,
      ["kill", 0, 0],
      ["kill", 1, 0],
    ],
    end: "whole",
    tokens: 9,
  },
  "another entry continues, and the first one does not cancel": {
    actions: [
      stream,
      some,
      ["reconnect", 0, 1],
      ["silence", 0, 5],
      ["silence", 0, 5],
    ],
    end: "whole",
    tokens: 10,
  },
  "a stream survives the death of its entry": {
    actions: [stream, some, ["crash", 0, 0]],
    end: "whole",
    tokens: 10,
  },
  "a stop deadline moves the reader": {
    actions: [stream, some, ["stop", 0, 0]],
    end: "whole",
    tokens: 10,
  },
};

for (const [name, expected] of Object.entries(cases)) {
  t.test(name, (t) => {
    const [reader] = play(expected.actions).readers;
    t.equal(reader?.end, expected.end);
    t.equal(reader?.tokens.length, expected.tokens);
    t.end();
  });
}
