import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";

/** Milliseconds that an engine keeps running after its termination notice. */
const noticeMs = 1_500;

/** Tokens per millisecond on the engine's link between data centres. */
const linkTokensPerMs = 9;

/** Milliseconds between two events of a generation. */
const eventPeriodMs = 35;

/** Longest acceptable pause between two events, in milliseconds. */
const pauseTargetMs = 180;

/** Duration of a call to an engine, in milliseconds. */
const callMs = 3;

const head = { status: 200, headers: [] };
const promptTokens = 3_400;
const eventsBeforeNotice = 50;

interface Generation {
  readonly id: string;
  readonly relay: RelayFixture;
  attemptId: string;
  copiedTokens: number;
  /** Milliseconds from the notice until the engine stopped it. */
  stoppedAt: number | null;
  /** Milliseconds from the notice until it was resumed elsewhere. */
  movedAt: number | null;
  pauseMs: number;
}

interface ScheduledStep {
  readonly at: number;
  readonly run: () => void;
}

/**
 * Simulates an engine that leaves. The copies of its generations queue on its
 * single network link, and generations that were not resumed elsewhere before
 * the engine ends are lost.
 */
class DepartureSimulation {
  readonly #queue: ScheduledStep[] = [];
  readonly #noticeTimes = new Map<RelayFixture, number>();
  readonly generations: Generation[] = [];
  #now = 0;
  #linkFreeAt = 0;

  /** Each relay process runs some generations at the engine that leaves. */
  constructor(processes: number, generationsPerProcess: number) {
    for (let number = 0; number < processes; number += 1) {
      const relay = new RelayFixture({ vm: `front-${number}` });
      relay.learn([upstreamOf("leaving")]);
      for (let index = 0; index < generationsPerProcess; index += 1) {
        // Ids are random in production; these interleave the processes.
        const id = `${index}${(number * 7) % 10}-${number}`;
        this.generations.push(startGeneration(relay, id));
      }
      relay.wait(5_000);
    }
  }

  /** Delivers the termination notice and runs until the engine ends. */
  run(): void {
    const spares = ["a", "b", "c"].map((id) => upstreamOf(id));
    const relays = new Set(this.generations.map(({ relay }) => relay));
    for (const relay of relays) {
      const leaving = upstreamOf("leaving", { state: "leaving" });
      const vms = [leaving, ...spares];
      const effects = relay.list(vms);
      this.#noticeTimes.set(relay, relay.now);
      this.#apply(relay, effects);
    }
    while (this.#queue.length > 0) {
      this.#queue.sort((a, b) => a.at - b.at);
      const next = this.#queue.shift();
      if (next === undefined || next.at > noticeMs) {
        return;
      }
      this.#now = next.at;
      next.run();
    }
  }

  #apply(relay: RelayFixture, effects: readonly RelayEffect[]): void {
    for (const { timer, at } of only(effects, "set_timer")) {
      if (timer.kind === "depart") {
        const dueAt = Math.max(this.#now, at - this.#noticeTimeOf(relay));
        this.#schedule(relay, { kind: "timer_fired", timer }, dueAt);
      }
    }
    for (const { attemptId, exchangeId } of only(effects, "list_runs")) {
      const tokens = this.#tokensNow();
      const runs = this.generations.map(({ id }) => ({
        requestId: id,
        tokens,
        events: eventsBeforeNotice,
      }));
      const report = { keptTokens: 0, freeTokens: 0, runs, detail: "" };
      const kind = "runs_listed";
      const event = { kind, attemptId, exchangeId, report } as const;
      this.#schedule(relay, event, this.#now + callMs);
    }
    for (const effect of only(effects, "copy_generation")) {
      this.#copy(relay, effect);
    }
    for (const { exchangeId } of only(effects, "send_request")) {
      this.#recordResumed(exchangeId);
    }
  }

  #copy(
    relay: RelayFixture,
    { attemptId, exchangeId, stop }: Extract<
      RelayEffect,
      { kind: "copy_generation" }
    >,
  ): void {
    const generation = this.#get(exchangeId);
    if (stop) {
      generation.stoppedAt = this.#now;
    }
    const tokens = this.#tokensNow() - generation.copiedTokens;
    generation.copiedTokens += tokens;
    const startAt = Math.max(this.#now, this.#linkFreeAt);
    this.#linkFreeAt = startAt + tokens / linkTokensPerMs;
    const outcome = { kind: "copied", handle: "h" } as const;
    const kind = "generation_copied";
    const event = { kind, attemptId, exchangeId, outcome } as const;
    this.#schedule(relay, event, this.#linkFreeAt + callMs);
  }

  #recordResumed(exchangeId: string): void {
    const generation = this.#get(exchangeId);
    generation.movedAt = this.#now;
    generation.pauseMs = this.#now - (generation.stoppedAt ?? this.#now);
  }

  #tokensNow(): number {
    return promptTokens + 4 * (eventsBeforeNotice + this.#now / eventPeriodMs);
  }

  #get(id: string): Generation {
    const generation = this.generations.find((candidate) =>
      candidate.id === id
    );
    if (generation === undefined) {
      throw new TypeError(`No generation "${id}"`);
    }
    return generation;
  }

  #schedule(relay: RelayFixture, event: RelayEvent, at: number): void {
    const run = () => {
      const elapsedMs = this.#now - (relay.now - this.#noticeTimeOf(relay));
      this.#apply(relay, relay.reduce(event, Math.max(0, elapsedMs)));
    };
    this.#queue.push({ at, run });
  }

  /** Monotonic milliseconds of a relay's own clock at the notice. */
  #noticeTimeOf(relay: RelayFixture): number {
    return this.#noticeTimes.get(relay) ?? relay.now;
  }
}

function startGeneration(relay: RelayFixture, id: string): Generation {
  const effects = relay.generate({
    exchangeId: id,
    requestId: id,
    generation: {
      model: "m",
      promptTokens,
      maxTokens: 1_000,
      prefix: [id],
      sharedBlocks: [],
    },
  });
  const attemptId = only(effects, "send_request")[0]?.attemptId ?? "";
  relay.reduce({
    kind: "events_received",
    attemptId,
    exchangeId: id,
    head,
    bytes: Buffer.from("id: 50\ndata: x\n\n"),
    count: eventsBeforeNotice,
    lastEventId: String(eventsBeforeNotice),
  });
  const stoppedAt = null;
  return {
    id,
    relay,
    attemptId,
    copiedTokens: 0,
    stoppedAt,
    movedAt: null,
    pauseMs: 0,
  };
}

// Copies that all start at once share the engine's link and complete together,
// after the engine has ended, so that every generation is lost.
t.test("generations are moved off a leaving engine one after another", (t) => {
  const departure = new DepartureSimulation(4, 2);
  departure.run();
  const { generations } = departure;
  const moved = generations.filter(({ movedAt }) => movedAt !== null);
  const capacity = Math.floor(
    noticeMs * linkTokensPerMs / (promptTokens + 200),
  );
  t.equal(capacity, 3, "whole generations that the link can carry");
  t.equal(moved.length, capacity);
  const inTime = moved.filter(({ pauseMs }) => pauseMs <= pauseTargetMs);
  t.equal(inTime.length, moved.length, "pauses stay within the target");
  t.end();
});
