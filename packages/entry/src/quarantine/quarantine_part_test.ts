import type { Vm } from "@lavenderferry/platform";
import type { SuspectBlock } from "@lavenderferry/policy";
import { isRequestBlock, prefixDigests } from "@lavenderferry/policy";
import t from "tap";
import type { EntryEffect } from "../effects.ts";
import type { EntryEvent } from "../events.ts";
import {
  createFixture,
  createVm,
  effectsOf,
  reduceEvent,
} from "../fixtures/entry_fixture.ts";
import { lostConnection } from "../generations/generation_event.ts";
import type { EntryState } from "../state.ts";
import type { Timer } from "../process/timers.ts";
import { timerPeriodsMs } from "../process/timers.ts";

const engineCount = 12;

/** Characters of a block for which a digest is computed. */
const blockChars = 256;

/** Time after which an engine ends that begins a prompt which ends engines. */
const crashDelayMs = 20;

const tickMs = 10;

type Start = Extract<EntryEffect, { kind: "start_generation" }>;

interface ScheduledEvent {
  readonly event: EntryEvent;
  /** Monotonic milliseconds. */
  readonly at: number;
}

function block(text: string): string {
  return text.padEnd(blockChars, ".");
}

/** Returns the id of the first block of a prompt. */
function digestOf(text: string): string {
  return prefixDigests(block(text))[0] ?? "";
}

/** Returns a peer's record of a block under which three engines ended. */
function recordOf(block: string): SuspectBlock {
  return { block, clearances: 0, ends: ["a/1", "b/1", "c/1"], changedAt: 0 };
}

/** An entry with engines that end as they begin some prompts. */
class Scene {
  readonly state: EntryState;
  /** Attempts that reached a running engine, in order. */
  readonly starts: Start[] = [];
  /** Errors that readers received, by the id of the request. */
  readonly failures = new Map<string, { error: string; notRun: unknown }>();
  /** Addresses of the engines that have ended. */
  readonly ended = new Set<string>();
  readonly #vms: readonly Vm[];
  readonly #endsEngine: (prompt: string) => boolean;
  #nowMs = 1_000;
  #events: ScheduledEvent[] = [];
  #peerMessages = 0;
  #requests = 0;

  constructor(endsEngine: (prompt: string) => boolean = () => false) {
    this.#endsEngine = endsEngine;
    this.#vms = Array.from(
      { length: engineCount },
      (_, index) => createVm(`engine-${index}`, "engine", "models"),
    );
    this.state = createFixture("a", this.#now(), this.#vms);
  }

  /** Requests a generation for a prompt of blocks; returns the request's id. */
  request(...blocks: readonly string[]): string {
    return this.requestText(blocks.map(block).join(""));
  }

  /** Requests a generation; returns the request's id. */
  requestText(prompt: string): string {
    const requestId = `r${this.#requests++}`;
    this.send({
      kind: "generation_requested",
      readerId: `reader-${requestId}`,
      requestId,
      workspace: "clinic",
      workClass: "report",
      model: "base",
      prompt,
      maxTokens: 10,
      stream: true,
      traceParent: undefined,
    });
    return requestId;
  }

  /** Lets a reader receive its answer, or a part of it. */
  answer(requestId: string, { whole }: { readonly whole: boolean }): void {
    const start = this.starts.find(({ request }) =>
      this.state.generations.get(request.generationId)?.stream.requestId ===
        requestId
    );
    const attemptId = start?.attemptId ?? "";
    const generationId = start?.request.generationId ?? "";
    const tokens = [{ index: 0, text: "a" }];
    this.send({ kind: "tokens_received", attemptId, generationId, tokens });
    if (whole) {
      this.send({
        kind: "engine_finished",
        attemptId,
        generationId,
        finishReason: "stop",
        usage: {
          promptTokens: 1,
          cachedTokens: 0,
          outputTokens: 1,
          recomputedTokens: 0,
          preemptions: 0,
        },
      });
    }
  }

  /** Receives records of suspect blocks from a peer. */
  learn(suspects: readonly SuspectBlock[]): readonly EntryEffect[] {
    return this.send({
      kind: "exchange_received",
      replyId: 1,
      message: {
        sender: "entry-1",
        epoch: "e",
        sequence: ++this.#peerMessages,
        acknowledged: 0,
        upstreams: null,
        readsDocuments: false,
        evacuations: null,
        full: false,
        configurationVersion: 0,
        storeEra: 0,
        members: [],
        duties: [],
        shares: [],
        lengths: [],
        suspects: suspects.map((record) => ({
          ...record,
          ends: [...record.ends],
        })),
        configurations: [],
        limits: [],
        marks: [],
      },
    });
  }

  /** Loses the connections of all attempts; their engines refuse new ones. */
  loseAll(): void {
    for (const { attemptId, address, request } of this.starts) {
      const { generationId } = request;
      this.ended.add(address);
      this.#fail({ attemptId, generationId }, lostConnection, 0);
    }
  }

  /** Lists all engines as leaving. */
  announceLeaving(): void {
    const vms = this.#vms.map((vm) => ({ ...vm, state: "leaving" }) as const);
    this.send({ kind: "vms_listed", vms });
  }

  /** Advances the clock; fires the timers and sends the scheduled events. */
  advance(milliseconds: number): void {
    const end = this.#nowMs + milliseconds;
    while (this.#nowMs < end) {
      this.#nowMs += tickMs;
      const due = this.#events.filter(({ at }) => at <= this.#nowMs);
      this.#events = this.#events.filter(({ at }) => at > this.#nowMs);
      for (const { event } of due) {
        this.send(event);
      }
      for (const kind of ["exchange", "check_progress"] as const) {
        if (this.#nowMs % timerPeriodsMs[kind] === 0) {
          this.send({ kind: "timer_fired", timer: { kind } });
        }
      }
    }
  }

  send(event: EntryEvent): readonly EntryEffect[] {
    const effects = reduceEvent(this.state, event, this.#now());
    for (const effect of effects) {
      this.#apply(effect);
    }
    return effects;
  }

  #apply(effect: EntryEffect): void {
    if (effect.kind === "start_generation") {
      this.#start(effect);
    } else if (effect.kind === "resume_generation") {
      if (this.ended.has(effect.address)) {
        this.#fail(effect, "unreachable", 0);
      }
    } else if (effect.kind === "check_engine") {
      const { upstream, address } = effect;
      const outcome = this.ended.has(address) ? "ended" : "listening";
      const event = { kind: "engine_checked", upstream, outcome } as const;
      this.#events.push({ event, at: this.#nowMs });
    } else if (effect.kind === "set_timer") {
      this.#schedule(effect.timer, effect.at);
    } else if (effect.kind === "fail_reader") {
      const { requestId, kind, notRun } = effect.occurrence;
      this.failures.set(requestId ?? "", { error: kind, notRun });
    }
  }

  #start(effect: Start): void {
    const { attemptId, address, request } = effect;
    const { generationId } = request;
    if (this.ended.has(address)) {
      const failure = { kind: "not_started", reason: "unreachable" } as const;
      this.send({ kind: "engine_failed", attemptId, generationId, failure });
      return;
    }
    this.starts.push(effect);
    if (this.#endsEngine(request.prompt)) {
      this.ended.add(address);
      this.#fail({ attemptId, generationId }, lostConnection, crashDelayMs);
    }
  }

  #fail(
    { attemptId, generationId }: { attemptId: string; generationId: string },
    reason: string,
    delayMs: number,
  ): void {
    const kind = "engine_failed";
    const failure = { kind: "lost", reason } as const;
    const event = { kind, attemptId, generationId, failure } as const;
    this.#events.push({ event, at: this.#nowMs + delayMs });
  }

  #schedule(timer: Timer, at: number): void {
    if (!Object.hasOwn(timerPeriodsMs, timer.kind)) {
      this.#events.push({ event: { kind: "timer_fired", timer }, at });
    }
  }

  #now() {
    return { monotonic: this.#nowMs, wall: this.#nowMs };
  }
}

// Each engine that begins such a prompt ends before its first token. If its
// generation starts again elsewhere, one prompt ends one engine after the other.
t.test("prompts with a block that ends engines stop reaching engines", (t) => {
  const scene = new Scene((prompt) => prompt.includes("bad"));
  const requests: string[] = [];
  for (let index = 0; index < 6; index++) {
    requests.push(scene.request("bad", `own-${index}`));
    scene.advance(3_000);
  }
  t.equal(scene.ended.size, 3, "no engine ends after the third");
  const [first, ...others] = requests.map((id) => scene.failures.get(id));
  t.strictSame(first, { error: "upstream_lost", notRun: false });
  t.strictSame(
    others.slice(1),
    Array(4).fill({ error: "request_quarantined", notRun: true }),
  );
  t.end();
});

t.test("a generation is started at two engines at most", (t) => {
  const scene = new Scene((prompt) => prompt.includes("own"));
  const requestId = scene.request("shared", "own");
  scene.advance(10_000);
  t.equal(scene.starts.length, 2);
  t.match(scene.failures.get(requestId), { error: "upstream_lost" });
  t.end();
});

t.test("a prompt without a whole block is started at two engines at most", (t) => {
  const scene = new Scene((prompt) => prompt === "short");
  scene.requestText("short");
  scene.advance(10_000);
  t.equal(scene.ended.size, 2);
  t.strictSame(scene.state.suspects.quarantines, []);
  t.end();
});

// The engine of the third loss is checked some time after it; a generation that
// starts elsewhere before that ends a fourth engine.
t.test("a generation waits for the check of the engine that it lost", (t) => {
  const scene = new Scene((prompt) => prompt.includes("bad"));
  scene.request("bad", "own-0");
  scene.advance(3_000);
  const requestId = scene.request("bad", "own-1");
  scene.advance(3_000);
  t.equal(scene.starts.length, 3);
  t.strictSame(scene.failures.get(requestId), {
    error: "upstream_lost",
    notRun: "unknown",
  });
  t.end();
});

t.test("a quarantine ends generations without a token", (t) => {
  const scene = new Scene();
  const sent = scene.request("bad", "own-0");
  const begun = scene.request("bad", "own-1");
  const sound = scene.request("good", "own-2");
  scene.answer(begun, { whole: false });
  const block = digestOf("bad");
  const effects = scene.learn([recordOf(block)]);
  t.strictSame([...scene.failures], [
    [sent, { error: "upstream_lost", notRun: "unknown" }],
  ]);
  const [start] = scene.starts;
  t.match(effectsOf(effects, "drop_attempt"), [
    { attemptId: start?.attemptId },
  ]);
  t.match(effectsOf(effects, "cancel_generation"), [
    { generationId: start?.request.generationId },
  ]);
  const running = [...scene.state.generations.values()];
  t.strictSame(running.map(({ stream }) => stream.requestId), [begun, sound]);
  t.end();
});

t.test("a complete answer ends the suspicion against its blocks", (t) => {
  const scene = new Scene((prompt) => prompt.includes("end"));
  scene.request("shared", "end-0");
  scene.advance(3_000);
  scene.answer(scene.request("shared", "own"), { whole: true });
  scene.request("shared", "end-1");
  scene.advance(3_000);
  t.equal(scene.ended.size, 4);
  t.strictSame(scene.state.suspects.quarantines, []);
  const startCount = scene.starts.length;
  scene.request("shared", "own");
  t.equal(scene.starts.length, startCount + 1);
  t.end();
});

t.test("an incomplete answer does not end the suspicion", (t) => {
  const scene = new Scene((prompt) => prompt.includes("end"));
  scene.request("shared", "end-0");
  scene.advance(3_000);
  scene.answer(scene.request("shared", "own"), { whole: false });
  scene.request("shared", "end-1");
  scene.advance(3_000);
  t.equal(scene.ended.size, 3);
  const refused = scene.request("shared", "own");
  t.match(scene.failures.get(refused), { error: "request_quarantined" });
  t.end();
});

t.test("entries learn from their peers which prompts end engines", (t) => {
  const scene = new Scene();
  const block = digestOf("bad");
  scene.learn([recordOf(block)]);
  const requestId = scene.request("bad", "own");
  t.strictSame(scene.failures.get(requestId), {
    error: "request_quarantined",
    notRun: true,
  });
  scene.request("good", "own");
  t.equal(scene.starts.length, 1);
  const [answered] = effectsOf(scene.learn([]), "answer_exchange");
  t.match(answered?.message.suspects, [{ block }]);
  t.end();
});

t.test("peers learn under which blocks engines ended", (t) => {
  const scene = new Scene((prompt) => prompt.includes("bad"));
  scene.learn([]);
  scene.request("bad", "own");
  scene.advance(3_000);
  const [answered] = effectsOf(scene.learn([]), "answer_exchange");
  const suspects = answered?.message.suspects ?? [];
  const isRequest = ({ block = "" }) => isRequestBlock(block);
  const prompts = suspects.filter((suspect) => !isRequest(suspect));
  t.strictSame(
    prompts.map(({ block, ends = [] }) => [block, ends.length]),
    [[digestOf("bad"), 2]],
    "the last block belongs to the request",
  );
  t.strictSame(
    suspects.filter(isRequest).map(({ ends = [] }) => ends.length),
    [2],
    "the request as a whole",
  );
  t.end();
});

// A fault of the entry's own network looks like the end of many engines.
t.test("connections that are lost together are held against no prompt", (t) => {
  const scene = new Scene();
  for (let index = 0; index < 24; index++) {
    scene.request("shared", `own-${index}`);
  }
  const addresses = new Set(scene.starts.map(({ address }) => address));
  t.ok(addresses.size >= 3, "enough engines for a quarantine");
  scene.loseAll();
  scene.advance(3_000);
  scene.learn([]);
  const [answered] = effectsOf(scene.learn([]), "answer_exchange");
  t.ok(answered);
  const suspects = answered?.message.suspects ?? [];
  t.strictSame(
    suspects.filter(({ block = "" }) => !isRequestBlock(block)),
    [],
    "no block of prompts is suspect",
  );
  t.ok(
    suspects.every(({ ends = [] }) => ends.length === 1),
    "each request is held against its own engine at most",
  );
  t.strictSame(scene.state.suspects.quarantines, []);
  t.end();
});

t.test("engines that still accept connections have not ended", (t) => {
  const scene = new Scene();
  const addresses = new Set<string>();
  for (let round = 0; round < 5; round++) {
    scene.request("shared", `own-${round}`);
    addresses.add(scene.starts.at(-1)?.address ?? "");
    scene.loseAll();
    scene.ended.clear();
    scene.advance(10_000);
  }
  t.ok(addresses.size >= 3, "enough engines for a quarantine");
  t.strictSame(scene.state.suspects.quarantines, []);
  t.end();
});

t.test("engines that end after their notice are not held against prompts", (t) => {
  const scene = new Scene();
  scene.request("shared", "own");
  const [start] = scene.starts;
  const upstream = start?.address.split(":")[0] ?? "";
  scene.announceLeaving();
  scene.loseAll();
  scene.advance(100);
  t.ok(scene.ended.has(start?.address ?? ""));
  t.notOk(scene.state.earlyLosses.isPending(upstream));
  t.end();
});
