import type { Vm } from "@lavenderferry/platform";
import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { CopyOutcome } from "../relay_event.ts";

const engines = ["e1", "e22", "e333"].map((id) => upstreamOf(id));
const exchangeId = "x1";
const head = { status: 200, headers: [] };
const unknown = { kind: "unknown", detail: "timed out" } as const;
const moved = { kind: "copied", handle: "h" } as const;

/** A stream whose engine leaves and has been asked to stop it. */
class StoppedStream {
  readonly relay = new RelayFixture();
  readonly attemptId: string;
  readonly #engines: readonly Vm[];
  readonly #source: string;
  readonly #copy: string | null;

  constructor({ hasCopy = false, spare }: {
    readonly hasCopy?: boolean;
    /** One more engine. */
    readonly spare?: Vm;
  } = {}) {
    this.#engines = spare === undefined ? engines : [...engines, spare];
    this.relay.learn(this.#engines);
    const [sent] = only(this.relay.generate(), "send_request");
    this.attemptId = sent?.attemptId ?? "";
    this.receive(7);
    const request = this.relay.state.requests.get(exchangeId);
    this.#source = request?.upstream ?? "";
    this.#copy = request?.copyUpstream ?? null;
    this.list(hasCopy ? [this.#source] : [this.#source, this.#copy ?? ""]);
    this.receive(1);
    this.depart();
    this.answer(moved);
  }

  /** Address of the engine that leaves. */
  get source() {
    return this.#engines.find(({ id }) => id === this.#source)?.address;
  }

  list(leaving: readonly string[]): void {
    this.relay.list(
      this.#engines.map((vm) =>
        leaving.includes(vm.id) ? { ...vm, state: "leaving" as const } : vm
      ),
    );
  }

  receive(count: number) {
    return this.relay.reduce({
      kind: "events_received",
      attemptId: this.attemptId,
      exchangeId,
      head,
      bytes: Buffer.from("id: 7\ndata: x\n\n"),
      count,
      lastEventId: "7",
    });
  }

  /** Lets the timer of its departure fire and lists no other runs. */
  depart() {
    const { relay, attemptId } = this;
    const timer = { kind: "depart", exchangeId } as const;
    const effects = relay.reduce({ kind: "timer_fired", timer }, 200);
    const report = { keptTokens: 0, freeTokens: 0, runs: [], detail: "" };
    return only(effects, "list_runs").length === 0 ? effects : relay
      .reduce({ kind: "runs_listed", attemptId, exchangeId, report });
  }

  answer(outcome: CopyOutcome) {
    const { relay, attemptId } = this;
    const kind = "generation_copied";
    return relay.reduce({ kind, attemptId, exchangeId, outcome });
  }

  /** Ends the stream with its connection, as one without a length does. */
  end() {
    const { relay, attemptId } = this;
    const kind = "stream_ended";
    return relay.reduce({ kind, attemptId, exchangeId, head, framed: false });
  }
}

// A stop that timed out during a freeze was forgotten, so that its effect, the end
// of a stream without a length, counted as the end of a complete answer.
t.test("a stream that ends after a stop without an answer is not complete", (t) => {
  const stream = new StoppedStream();
  stream.answer(unknown);
  const effects = stream.end();
  t.strictSame(only(effects, "finish_events"), []);
  t.equal(only(effects, "abort_answer").length, 1);
  t.equal(stream.relay.state.requests.size, 0);
  t.end();
});

t.test("a stream that ends after a stop without an answer goes on from its copy", (t) => {
  const stream = new StoppedStream({ hasCopy: true });
  stream.answer(unknown);
  const effects = stream.end();
  t.strictSame(only(effects, "finish_events"), []);
  t.match(only(effects, "send_request"), [{ resumption: { handle: "r1" } }]);
  t.end();
});

// The next departure began a copy beside a run that might end at any time.
t.test("a stop without an answer is asked for again, and its end is kept", (t) => {
  const stream = new StoppedStream();
  stream.answer(unknown);
  t.match(only(stream.depart(), "copy_generation"), [{ stop: true }]);
  t.strictSame(stream.end(), [], "the end waits for the answer");
  t.match(only(stream.answer(moved), "send_request"), [{
    resumption: { address: stream.source, handle: "h", lastEventId: "7" },
  }]);
  t.end();
});

for (const kind of ["busy", "not_running"] as const) {
  t.test(`a stream that ended by a first stop is cut if the next is ${kind}`, (t) => {
    const stream = new StoppedStream();
    stream.answer(unknown);
    stream.depart();
    stream.end();
    const effects = stream.answer({ kind });
    t.strictSame(only(effects, "finish_events"), []);
    t.equal(only(effects, "abort_answer").length, 1);
    t.end();
  });

  // A whole answer was cut, or waited for its deadline, as its engine had been
  // asked to stop it at the same moment.
  t.test(`a stream that ended before its stop is complete if ${kind}`, (t) => {
    const stream = new StoppedStream();
    t.strictSame(stream.end(), []);
    const effects = stream.answer({ kind });
    t.equal(only(effects, "finish_events").length, 1);
    t.strictSame(only(effects, "abort_answer"), []);
    t.equal(stream.relay.state.requests.size, 0);
    t.end();
  });
}

t.test("a stream ends as complete if its engine was not reached for a stop", (t) => {
  const stream = new StoppedStream();
  stream.answer({ kind: "unreachable", detail: "connect ECONNREFUSED" });
  t.equal(stream.receive(1).length, 1);
  t.equal(only(stream.end(), "finish_events").length, 1);
  t.end();
});

// An engine that refused to send a stopped run on had named the handle of its memory,
// and the stream was cut when the next call found no run.
for (const kind of ["busy", "not_running"] as const) {
  for (const hasEnded of [true, false]) {
    const end = hasEnded ? "after" : "before";
    t.test(`a stopped run goes on if ${kind} ${end} its end arrives`, (t) => {
      const stream = new StoppedStream({ spare: upstreamOf("e4444") });
      if (hasEnded) {
        stream.end();
      }
      const refused = { kind: "no_room", handle: "h2", detail: "" } as const;
      const next = stream.answer(refused);
      t.match(only(next, "copy_generation"), [{ stop: true }]);
      const effects = stream.answer({ kind });
      t.match(only(effects, "send_request"), [{
        target: { address: stream.source },
        resumption: { address: stream.source, handle: "h2", lastEventId: "7" },
      }]);
      t.strictSame(only(effects, "abort_answer"), []);
      t.end();
    });
  }
}
