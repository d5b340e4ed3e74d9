import type { Occurrence } from "@lavenderferry/errors";
import { errorKinds } from "@lavenderferry/errors";
import { MemoryTable } from "@lavenderferry/platform";
import type { CommitResult } from "@lavenderferry/platform";
import fc from "fast-check";
import t from "tap";
import type { EntryEffect } from "../effects.ts";
import type { EntryEvent } from "../events.ts";
import { createFixture, reduceEvent } from "../fixtures/entry_fixture.ts";
import type { EntryState } from "../state.ts";

type CommitEffect = Extract<EntryEffect, { kind: "commit_record" }>;
type CallServiceEffect = Extract<EntryEffect, { kind: "call_service" }>;
type SetTimerEffect = Extract<EntryEffect, { kind: "set_timer" }>;

/** An effect of a process whose outcome is outstanding. */
interface PendingEffect {
  /** Receives the outcome; `null` after its crash or a reported failure. */
  readonly process: Process | null;
  readonly effect: CommitEffect | CallServiceEffect | SetTimerEffect;
}

interface Process {
  readonly state: EntryState;
}

/** One execution of a call by the service. */
interface Run {
  readonly key: string;
  readonly callId: string;
  readonly digest: string;
  readonly body: string;
}

interface Step {
  /** Index of the effect, modulo the number of pending effects. */
  readonly pendingIndex: number;
  /** Selects the outcome, modulo the number of outcomes. */
  readonly outcome: number;
}

interface Answer {
  readonly requestId: string;
  readonly body: string;
}

/**
 * Several entries with one table and one service. Effects stay pending until a
 * step picks them, so their outcomes arrive in any order.
 */
class Simulation {
  readonly runs: Run[] = [];
  readonly answers: Answer[] = [];
  /** Ids of the requests that failed with `notRun: true`. */
  readonly notRun: string[] = [];
  readonly errors: string[] = [];
  readonly requests = new Map<string, { key: string; digest: string }>();
  readonly requestIdByCall = new Map<string, string>();
  readonly #table = new MemoryTable();
  readonly #processes: Process[];
  #pending: PendingEffect[] = [];
  #nowMs = 1_000;
  #epochs = 0;

  constructor(processes: number) {
    this.#processes = Array.from(
      { length: processes },
      () => this.#startProcess(),
    );
  }

  request(process: number, key: string, digest: string): void {
    const requestId = `r-${this.requests.size}`;
    this.requests.set(requestId, { key, digest });
    this.#send(this.#processAt(process), {
      kind: "call_requested",
      readerId: requestId,
      requestId,
      workspace: "clinic",
      workClass: "report",
      service: "booking",
      method: "POST",
      path: "/bookings",
      contentType: undefined,
      body: digest,
      key,
      digest,
      traceParent: undefined,
    });
  }

  /** Replaces a process; its commits and calls may still be executed. */
  crash(process: number): void {
    const crashed = this.#processAt(process);
    this.#processes[this.#processes.indexOf(crashed)] = this.#startProcess();
    this.#pending = this.#pending
      .filter((pending) =>
        pending.process !== crashed || pending.effect.kind !== "set_timer"
      )
      .map((pending) =>
        pending.process === crashed ? { ...pending, process: null } : pending
      );
  }

  async step({ pendingIndex, outcome }: Step): Promise<void> {
    const index = pendingIndex % Math.max(1, this.#pending.length);
    const [pending] = this.#pending.splice(index, 1);
    if (pending === undefined) {
      return;
    }
    const { process, effect } = pending;
    switch (effect.kind) {
      case "set_timer":
        this.#nowMs = Math.max(this.#nowMs, effect.at);
        this.#deliver(process, { kind: "timer_fired", timer: effect.timer });
        return;
      case "commit_record":
        await this.#resolveCommit(process, effect, outcome);
        return;
      case "call_service":
        this.#resolveServiceCall(process, effect, outcome);
    }
  }

  async runToIdle(): Promise<void> {
    for (
      let remainingSteps = 2_000;
      remainingSteps > 0 && this.#pending.length > 0;
      remainingSteps--
    ) {
      await this.step({ pendingIndex: 0, outcome: 0 });
    }
  }

  get idle(): boolean {
    return this.#pending.length === 0 &&
      this.#processes.every(({ state }) => state.calls.size === 0);
  }

  /** Outcomes: done, answer lost, refused, and timed out but done later. */
  async #resolveCommit(
    process: Process | null,
    effect: CommitEffect,
    outcome: number,
  ): Promise<void> {
    const { callId, write } = effect;
    const failed = (notRun: true | "unknown") =>
      this.#deliver(process, { kind: "record_failed", callId, notRun });
    switch (process === null ? 1 : outcome % 4) {
      case 0: {
        const result: CommitResult = await this.#table.commit([write]);
        this.#deliver(process, { kind: "record_committed", callId, result });
        return;
      }
      case 1:
        await this.#table.commit([write]);
        failed("unknown");
        return;
      case 2:
        failed(true);
        return;
      default:
        this.#pending.push({ process: null, effect });
        failed("unknown");
    }
  }

  /**
   * Outcomes: run, answer lost, refused, unreachable, rejected as invalid, and
   * timed out but run later.
   */
  #resolveServiceCall(
    process: Process | null,
    effect: CallServiceEffect,
    outcome: number,
  ): void {
    const { callId, upstream } = effect;
    const contentType = "application/json";
    const failed = (notRun: true | "unknown") =>
      this.#deliver(process, {
        kind: "call_failed",
        callId,
        upstream,
        notRun,
        reason: notRun === true ? "unreachable" : "connection",
      });
    const answer = (status: number, body: string, notRun: boolean) =>
      this.#deliver(process, {
        kind: "call_answered",
        callId,
        upstream,
        answer: { status, contentType, body },
        notRun,
      });
    switch (process === null ? 1 : outcome % 6) {
      case 0:
        answer(201, this.#runService(effect), false);
        return;
      case 1:
        this.#runService(effect);
        failed("unknown");
        return;
      case 2:
        answer(503, "draining", true);
        return;
      case 3:
        failed(true);
        return;
      case 4:
        answer(400, "bad", true);
        return;
      default:
        this.#pending.push({ process: null, effect });
        failed("unknown");
    }
  }

  #runService({ callId, key, body: digest }: CallServiceEffect): string {
    const body = `run-${this.runs.length}`;
    this.runs.push({ key: key ?? "", callId, digest, body });
    return body;
  }

  #deliver(process: Process | null, event: EntryEvent): void {
    if (process !== null) {
      this.#send(process, event);
    }
  }

  #send(process: Process, event: EntryEvent): void {
    this.#nowMs += 1;
    const at = { monotonic: this.#nowMs, wall: this.#nowMs };
    for (const effect of reduceEvent(process.state, event, at)) {
      this.#applyEffect(process, effect);
    }
  }

  #applyEffect(process: Process, effect: EntryEffect): void {
    if (effect.kind === "commit_record" || effect.kind === "call_service") {
      const call = process.state.calls.get(effect.callId);
      this.requestIdByCall.set(effect.callId, call?.request.requestId ?? "");
      this.#pending.push({ process, effect });
    } else if (effect.kind === "set_timer") {
      this.#pending.push({ process, effect });
    } else if (effect.kind === "send_answer") {
      const { requestId, answer } = effect;
      this.answers.push({ requestId, body: answer.body });
    } else if (effect.kind === "fail_reader") {
      this.#recordError(effect.occurrence);
    }
  }

  #recordError({ kind, notRun, requestId = "" }: Occurrence): void {
    this.errors.push(kind);
    if ((notRun ?? errorKinds[kind].notRun) === true) {
      this.notRun.push(requestId);
    }
  }

  #startProcess(): Process {
    this.#epochs += 1;
    const at = { monotonic: this.#nowMs, wall: this.#nowMs };
    return { state: createFixture(`e${this.#epochs}`, at) };
  }

  #processAt(process: number): Process {
    const found = this.#processes[process % this.#processes.length];
    if (found === undefined) {
      throw new Error("The simulation has no processes");
    }
    return found;
  }
}

const stepArbitrary = fc.record({
  pendingIndex: fc.nat(40),
  outcome: fc.nat(59),
});

const actionArbitrary = fc.oneof(
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("request" as const),
      process: fc.nat(2),
      key: fc.constantFrom("k-1", "k-2"),
      digest: fc.constantFrom("d-1", "d-1", "d-1", "d-2"),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("step" as const),
      step: stepArbitrary,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("crash" as const),
      process: fc.nat(2),
    }),
  },
);

type Action = typeof actionArbitrary extends fc.Arbitrary<infer Value> ? Value
  : never;

async function simulate(actions: readonly Action[]): Promise<Simulation> {
  const simulation = new Simulation(3);
  for (const action of actions) {
    switch (action.kind) {
      case "request":
        simulation.request(action.process, action.key, action.digest);
        break;
      case "step":
        await simulation.step(action.step);
        break;
      case "crash":
        simulation.crash(action.process);
    }
  }
  await simulation.runToIdle();
  return simulation;
}

function keysRunTwice({ runs }: Simulation): readonly string[] {
  const keys = runs.map(({ key }) => key);
  return keys.filter((key, index) => keys.indexOf(key) !== index);
}

function runsReportedNotRun(
  { runs, notRun, requestIdByCall }: Simulation,
) {
  return runs.filter(({ callId }) =>
    notRun.includes(requestIdByCall.get(callId) ?? "")
  );
}

function answersOfOtherCalls({ runs, answers, requests }: Simulation) {
  return answers.filter(({ requestId, body }) => {
    const run = runs.find((candidate) => candidate.body === body);
    const request = requests.get(requestId);
    return run !== undefined &&
      (run.key !== request?.key || run.digest !== request.digest);
  });
}

t.test("a call runs at most once in every interleaving", async (t) => {
  const property = fc.asyncProperty(
    fc.array(actionArbitrary, { maxLength: 60, size: "max" }),
    async (actions) => {
      const simulation = await simulate(actions);
      return simulation.idle && keysRunTwice(simulation).length === 0 &&
        runsReportedNotRun(simulation).length === 0 &&
        answersOfOtherCalls(simulation).length === 0;
    },
  );
  await t.resolves(fc.assert(property, { seed: 4, numRuns: 1_500 }));
});

const request = {
  kind: "request",
  process: 0,
  key: "k-1",
  digest: "d-1",
} as const;

/** Creates steps that each resolve the oldest pending effect. */
function steps(...outcomes: readonly number[]): readonly Action[] {
  return outcomes.map((outcome) => ({
    kind: "step",
    step: { pendingIndex: 0, outcome },
  }));
}

const crash = { kind: "crash", process: 0 } as const;
const repeated = { ...request, process: 1 } as const;

const cases: Record<
  string,
  {
    actions: readonly Action[];
    runs: number;
    errors: readonly string[];
    answers: readonly string[];
  }
> = {
  "a claim whose answer was lost is recognized by its retry": {
    actions: [request, ...steps(1, 0, 0, 0, 0)],
    runs: 1,
    errors: [],
    answers: ["run-0"],
  },
  "a later call gets the recorded answer": {
    actions: [request, ...steps(0, 0, 0), repeated],
    runs: 1,
    errors: [],
    answers: ["run-0", "run-0"],
  },
  "a key reused with another body is refused": {
    actions: [request, ...steps(0, 0, 0), { ...repeated, digest: "d-2" }],
    runs: 1,
    errors: ["key_reused"],
    answers: ["run-0"],
  },
  "a call in progress is not sent again": {
    actions: [request, ...steps(0), repeated, ...steps(0, 0)],
    runs: 1,
    errors: ["key_in_progress"],
    answers: ["run-0"],
  },
  "a call is not sent again after a crash": {
    actions: [request, ...steps(0), crash, repeated],
    runs: 1,
    errors: ["key_in_progress"],
    answers: [],
  },
  "a call whose answer was lost stays unresolved": {
    actions: [request, ...steps(0, 1, 0), repeated],
    runs: 1,
    errors: ["upstream_lost", "key_unresolved"],
    answers: [],
  },
  "a refusal by every upstream releases the key": {
    actions: [request, ...steps(0, 2, 2, 0), repeated, ...steps(0, 0, 0)],
    runs: 1,
    errors: ["no_upstream"],
    answers: ["run-0"],
  },
  "an invalid call that did not run releases the key": {
    actions: [request, ...steps(0, 4, 0), repeated, ...steps(0, 0, 0)],
    runs: 1,
    errors: [],
    answers: ["bad", "run-0"],
  },
  "a call fails as not run while the store is unavailable": {
    actions: [request, ...steps(...Array<number>(40).fill(2))],
    runs: 0,
    errors: ["store_unavailable"],
    answers: [],
  },
  "a claim that is committed late is released": {
    actions: [
      request,
      ...steps(3),
      { kind: "step", step: { pendingIndex: 1, outcome: 2 } },
      ...steps(...Array<number>(40).fill(2)),
      ...steps(0, 0, 0, 0),
      repeated,
    ],
    runs: 1,
    errors: ["store_unavailable"],
    answers: ["run-0"],
  },
};

for (const [name, expected] of Object.entries(cases)) {
  t.test(name, async (t) => {
    const simulation = await simulate(expected.actions);
    t.equal(simulation.runs.length, expected.runs);
    t.strictSame(simulation.errors, expected.errors);
    t.strictSame(simulation.answers.map(({ body }) => body), expected.answers);
    t.ok(simulation.idle);
  });
}
