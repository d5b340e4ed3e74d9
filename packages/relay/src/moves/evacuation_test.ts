import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";

/** Milliseconds that an engine runs on after it said that it leaves. */
const noticeMs = 1_500;

/** Tokens per millisecond that its link carries between data centres. */
const linkRate = 9;

/** Milliseconds between two events of a generation. */
const eventMs = 35;

/** Longest pause between events that is in time, in milliseconds. */
const pauseTargetMs = 180;

/** Milliseconds of a call to an engine. */
const callMs = 3;

const head = { status: 200, headers: [] };
const promptTokens = 3_400;
const eventsBefore = 50;

interface Generation {
  readonly id: string;
  readonly relay: RelayFixture;
  attemptId: string;
  copied: number;
  stoppedAt: number | null;
  /** Milliseconds from the notice until it went on elsewhere. */
  movedAt: number | null;
  pauseMs: number;
}

interface Due {
  readonly at: number;
  readonly run: () => void;
}

/**
 * Plays an engine that leaves: the generations' copies queue on its one link,
 * and whatever has not gone on elsewhere when it ends is lost.
 */
class Departure {
  readonly #queue: Due[] = [];
  readonly #starts = new Map<RelayFixture, number>();
  readonly generations: Generation[] = [];
  #now = 0;
  #linkFreeAt = 0;

  /** `processes` relays run `each` generations at the engine that leaves. */
  constructor(processes: number, each: number) {
    for (let number = 0; number < processes; number += 1) {
      const relay = new RelayFixture({ vm: `front-${number}` });
      relay.learn([upstreamOf("leaving")]);
      for (let index = 0; index < each; index += 1) {
        // Ids are random in the field; these interleave the processes.
        const id = `${index}${(number * 7) % 10}-${number}`;
        this.generations.push(begin(relay, id));
      }
      relay.wait(5_000);
    }
  }

  /** Lets the engine say that it leaves, and plays until it ends. */
  play(): void {
    const spares = ["a", "b", "c"].map((id) => upstreamOf(id));
    const relays = new Set(this.generations.map(({ relay }) => relay));
    for (const relay of relays) {
      const leaving = upstreamOf("leaving", { state: "leaving" });
      const vms = [leaving, ...spares];
      const kind = "upstreams_learned";
      const effects = relay.reduce({ kind, vms, unreadable: [] });
      this.#starts.set(relay, relay.now);
      this.#follow(relay, effects);
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

  #follow(relay: RelayFixture, effects: readonly RelayEffect[]): void {
    for (const { timer, at } of only(effects, "set_timer")) {
      if (timer.kind === "evacuate") {
        const due = Math.max(this.#now, at - this.#startOf(relay));
        this.#later(relay, { kind: "timer_fired", timer }, due);
      }
    }
    for (const { attemptId, exchangeId } of only(effects, "list_runs")) {
      const tokens = this.#tokens();
      const runs = this.generations.map(({ id }) => ({
        requestId: id,
        tokens,
      }));
      const report = { keptTokens: 0, freeTokens: 0, runs, detail: "" };
      const kind = "runs_listed";
      const event = { kind, attemptId, exchangeId, report } as const;
      this.#later(relay, event, this.#now + callMs);
    }
    for (const effect of only(effects, "copy_generation")) {
      this.#copy(relay, effect);
    }
    for (const { exchangeId } of only(effects, "send_request")) {
      this.#resumed(exchangeId);
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
    const tokens = this.#tokens() - generation.copied;
    generation.copied += tokens;
    const begin = Math.max(this.#now, this.#linkFreeAt);
    this.#linkFreeAt = begin + tokens / linkRate;
    const outcome = { kind: "copied", handle: "h" } as const;
    const kind = "generation_copied";
    const event = { kind, attemptId, exchangeId, outcome } as const;
    this.#later(relay, event, this.#linkFreeAt + callMs);
  }

  #resumed(exchangeId: string): void {
    const generation = this.#get(exchangeId);
    generation.movedAt = this.#now;
    generation.pauseMs = this.#now - (generation.stoppedAt ?? this.#now);
  }

  #tokens(): number {
    return promptTokens + 4 * (eventsBefore + this.#now / eventMs);
  }

  #get(id: string): Generation {
    const generation = this.generations.find((each) => each.id === id);
    if (generation === undefined) {
      throw new TypeError(`No generation "${id}"`);
    }
    return generation;
  }

  #later(relay: RelayFixture, event: RelayEvent, at: number): void {
    const run = () => {
      const passed = this.#now - (relay.now - this.#startOf(relay));
      this.#follow(relay, relay.reduce(event, Math.max(0, passed)));
    };
    this.#queue.push({ at, run });
  }

  /** Time of a relay's own clock at the notice. */
  #startOf(relay: RelayFixture): number {
    return this.#starts.get(relay) ?? relay.now;
  }
}

function begin(relay: RelayFixture, id: string): Generation {
  const effects = relay.generate({
    exchangeId: id,
    requestId: id,
    generation: { model: "m", promptTokens, maxTokens: 1_000, prefix: [id] },
  });
  const attemptId = only(effects, "send_request")[0]?.attemptId ?? "";
  relay.reduce({
    kind: "events_received",
    attemptId,
    exchangeId: id,
    head,
    bytes: Buffer.from("id: 50\ndata: x\n\n"),
    count: eventsBefore,
    lastEventId: String(eventsBefore),
  });
  const stoppedAt = null;
  return {
    id,
    relay,
    attemptId,
    copied: 0,
    stoppedAt,
    movedAt: null,
    pauseMs: 0,
  };
}

t.test("generations leave an engine in turn, not all too late", (t) => {
  const departure = new Departure(4, 2);
  departure.play();
  const { generations } = departure;
  const moved = generations.filter(({ movedAt }) => movedAt !== null);
  const carried = Math.floor(noticeMs * linkRate / (promptTokens + 200));
  t.equal(carried, 3, "whole generations that the link carries");
  t.equal(moved.length, carried);
  const inTime = moved.filter(({ pauseMs }) => pauseMs <= pauseTargetMs);
  t.equal(inTime.length, moved.length, "callers see no pause");
  t.end();
});
