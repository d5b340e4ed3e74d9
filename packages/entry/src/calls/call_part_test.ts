import type { Occurrence } from "@lavenderferry/errors";
import { errorKinds } from "@lavenderferry/errors";
import { MemoryTable } from "@lavenderferry/platform";
import type { CommitResult } from "@lavenderferry/platform";
import fc from "fast-check";
import t from "tap";
import type { EntryEffect } from "../effects.ts";
import type { EntryEvent } from "../events.ts";
import { createFixture, send } from "../fixtures/entry_fixture.ts";
import type { EntryState } from "../state.ts";

type Commit = Extract<EntryEffect, { kind: "commit_record" }>;
type ServiceCall = Extract<EntryEffect, { kind: "call_service" }>;
type Timer = Extract<EntryEffect, { kind: "set_timer" }>;

/** Something that is under way between a process and its surroundings. */
interface Pending {
  /** Process that hears of the outcome; `null`: it has died or given up. */
  readonly process: Process | null;
  readonly effect: Commit | ServiceCall | Timer;
}

interface Process {
  readonly state: EntryState;
}

interface Run {
  readonly key: string;
  readonly callId: string;
  readonly digest: string;
  readonly body: string;
}

interface Step {
  readonly pick: number;
  readonly outcome: number;
}

interface Answer {
  readonly requestId: string;
  readonly body: string;
}

/** Several entries, one table and one service, in any order of events. */
class World {
  readonly runs: Run[] = [];
  readonly answers: Answer[] = [];
  /** Request ids of the attempts that were answered "not run". */
  readonly notRun: string[] = [];
  readonly errors: string[] = [];
  readonly requests = new Map<string, { key: string; digest: string }>();
  readonly requestOfCall = new Map<string, string>();
  readonly #table = new MemoryTable();
  readonly #processes: Process[];
  #pending: Pending[] = [];
  #now = 1_000;
  #epochs = 0;

  constructor(processes: number) {
    this.#processes = Array.from({ length: processes }, () => this.#spawn());
  }

  request(process: number, key: string, digest: string): void {
    const requestId = `r-${this.requests.size}`;
    this.requests.set(requestId, { key, digest });
    this.#send(this.#at(process), {
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

  /** Ends a process at once; what it sent may still arrive. */
  crash(process: number): void {
    const died = this.#at(process);
    this.#processes[this.#processes.indexOf(died)] = this.#spawn();
    this.#pending = this.#pending
      .filter((each) =>
        each.process !== died || each.effect.kind !== "set_timer"
      )
      .map((each) => each.process === died ? { ...each, process: null } : each);
  }

  async step({ pick, outcome }: Step): Promise<void> {
    const index = pick % Math.max(1, this.#pending.length);
    const [pending] = this.#pending.splice(index, 1);
    if (pending === undefined) {
      return;
    }
    const { process, effect } = pending;
    switch (effect.kind) {
      case "set_timer":
        this.#now = Math.max(this.#now, effect.at);
        this.#tell(process, { kind: "timer_fired", timer: effect.timer });
        return;
      case "commit_record":
        await this.#commit(process, effect, outcome);
        return;
      case "call_service":
        this.#call(process, effect, outcome);
    }
  }

  async settle(): Promise<void> {
    for (let left = 2_000; left > 0 && this.#pending.length > 0; left--) {
      await this.step({ pick: 0, outcome: 0 });
    }
  }

  get idle(): boolean {
    return this.#pending.length === 0 &&
      this.#processes.every(({ state }) => state.calls.size === 0);
  }

  /** Outcomes: done, answer lost, refused, timed out and late. */
  async #commit(
    process: Process | null,
    effect: Commit,
    outcome: number,
  ): Promise<void> {
    const { callId, write } = effect;
    const failed = (notRun: true | "unknown") =>
      this.#tell(process, { kind: "record_failed", callId, notRun });
    switch (process === null ? 1 : outcome % 4) {
      case 0: {
        const result: CommitResult = await this.#table.commit([write]);
        this.#tell(process, { kind: "record_committed", callId, result });
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

  /** Outcomes: run, answer lost, refused, unreachable, invalid, late. */
  #call(process: Process | null, effect: ServiceCall, outcome: number): void {
    const { callId, upstream } = effect;
    const contentType = "application/json";
    const failed = (notRun: true | "unknown") =>
      this.#tell(process, {
        kind: "call_failed",
        callId,
        upstream,
        notRun,
        reason: notRun === true ? "unreachable" : "connection",
      });
    const answer = (status: number, body: string, notRun: boolean) =>
      this.#tell(process, {
        kind: "call_answered",
        callId,
        upstream,
        answer: { status, contentType, body },
        notRun,
      });
    switch (process === null ? 1 : outcome % 6) {
      case 0:
        answer(201, this.#run(effect), false);
        return;
      case 1:
        this.#run(effect);
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

  #run({ callId, key, body: digest }: ServiceCall): string {
    const body = `run-${this.runs.length}`;
    this.runs.push({ key: key ?? "", callId, digest, body });
    return body;
  }

  #tell(process: Process | null, event: EntryEvent): void {
    if (process !== null) {
      this.#send(process, event);
    }
  }

  #send(process: Process, event: EntryEvent): void {
    this.#now += 1;
    const at = { monotonic: this.#now, wall: this.#now };
    for (const effect of send(process.state, event, at)) {
      this.#take(process, effect);
    }
  }

  #take(process: Process, effect: EntryEffect): void {
    if (effect.kind === "commit_record" || effect.kind === "call_service") {
      const call = process.state.calls.get(effect.callId);
      this.requestOfCall.set(effect.callId, call?.request.requestId ?? "");
      this.#pending.push({ process, effect });
    } else if (effect.kind === "set_timer") {
      this.#pending.push({ process, effect });
    } else if (effect.kind === "send_answer") {
      const { requestId, answer } = effect;
      this.answers.push({ requestId, body: answer.body });
    } else if (effect.kind === "fail_reader") {
      this.#takeError(effect.occurrence);
    }
  }

  #takeError({ kind, notRun, requestId = "" }: Occurrence): void {
    this.errors.push(kind);
    if ((notRun ?? errorKinds[kind].notRun) === true) {
      this.notRun.push(requestId);
    }
  }

  #spawn(): Process {
    this.#epochs += 1;
    const at = { monotonic: this.#now, wall: this.#now };
    return { state: createFixture(`e${this.#epochs}`, at) };
  }

  #at(process: number): Process {
    const found = this.#processes[process % this.#processes.length];
    if (found === undefined) {
      throw new Error("The world has no processes");
    }
    return found;
  }
}

const stepArbitrary = fc.record({ pick: fc.nat(40), outcome: fc.nat(59) });

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

async function play(actions: readonly Action[]): Promise<World> {
  const world = new World(3);
  for (const action of actions) {
    switch (action.kind) {
      case "request":
        world.request(action.process, action.key, action.digest);
        break;
      case "step":
        await world.step(action.step);
        break;
      case "crash":
        world.crash(action.process);
    }
  }
  await world.settle();
  return world;
}

function keysRunTwice({ runs }: World): readonly string[] {
  const keys = runs.map(({ key }) => key);
  return keys.filter((key, index) => keys.indexOf(key) !== index);
}

function notRunThatRan({ runs, notRun, requestOfCall }: World) {
  return runs.filter(({ callId }) =>
    notRun.includes(requestOfCall.get(callId) ?? "")
  );
}

function foreignAnswers({ runs, answers, requests }: World) {
  return answers.filter(({ requestId, body }) => {
    const run = runs.find((each) => each.body === body);
    const request = requests.get(requestId);
    return run !== undefined &&
      (run.key !== request?.key || run.digest !== request.digest);
  });
}

t.test("a call runs at most once in every interleaving", async (t) => {
  const property = fc.asyncProperty(
    fc.array(actionArbitrary, { maxLength: 60, size: "max" }),
    async (actions) => {
      const world = await play(actions);
      return world.idle && keysRunTwice(world).length === 0 &&
        notRunThatRan(world).length === 0 &&
        foreignAnswers(world).length === 0;
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

/** Outcomes of the steps that follow, by the first thing under way. */
function steps(...outcomes: readonly number[]): readonly Action[] {
  return outcomes.map((outcome) => ({
    kind: "step",
    step: { pick: 0, outcome },
  }));
}

const crash = { kind: "crash", process: 0 } as const;
const again = { ...request, process: 1 } as const;

const cases: Record<
  string,
  {
    actions: readonly Action[];
    runs: number;
    errors: readonly string[];
    answers: readonly string[];
  }
> = {
  "a lost answer of the claim is read back": {
    actions: [request, ...steps(1, 0, 0, 0, 0)],
    runs: 1,
    errors: [],
    answers: ["run-0"],
  },
  "a later call gets the recorded answer": {
    actions: [request, ...steps(0, 0, 0), again],
    runs: 1,
    errors: [],
    answers: ["run-0", "run-0"],
  },
  "another body under the key is refused": {
    actions: [request, ...steps(0, 0, 0), { ...again, digest: "d-2" }],
    runs: 1,
    errors: ["key_reused"],
    answers: ["run-0"],
  },
  "a call under way is not sent again": {
    actions: [request, ...steps(0), again, ...steps(0, 0)],
    runs: 1,
    errors: ["key_in_progress"],
    answers: ["run-0"],
  },
  "nothing is sent again after a crash": {
    actions: [request, ...steps(0), crash, again],
    runs: 1,
    errors: ["key_in_progress"],
    answers: [],
  },
  "a lost answer of the service stays unknown": {
    actions: [request, ...steps(0, 1, 0), again],
    runs: 1,
    errors: ["upstream_lost", "key_unresolved"],
    answers: [],
  },
  "a refusal by every upstream releases the key": {
    actions: [request, ...steps(0, 2, 2, 0), again, ...steps(0, 0, 0)],
    runs: 1,
    errors: ["no_upstream"],
    answers: ["run-0"],
  },
  "an invalid call that did not run releases the key": {
    actions: [request, ...steps(0, 4, 0), again, ...steps(0, 0, 0)],
    runs: 1,
    errors: [],
    answers: ["bad", "run-0"],
  },
  "a store that is down refuses as not run": {
    actions: [request, ...steps(...Array<number>(40).fill(2))],
    runs: 0,
    errors: ["store_unavailable"],
    answers: [],
  },
  "a claim that lands late is released": {
    actions: [
      request,
      ...steps(3),
      { kind: "step", step: { pick: 1, outcome: 2 } },
      ...steps(...Array<number>(40).fill(2)),
      ...steps(0, 0, 0, 0),
      again,
    ],
    runs: 1,
    errors: ["store_unavailable"],
    answers: ["run-0"],
  },
};

for (const [name, expected] of Object.entries(cases)) {
  t.test(name, async (t) => {
    const world = await play(expected.actions);
    t.equal(world.runs.length, expected.runs);
    t.strictSame(world.errors, expected.errors);
    t.strictSame(world.answers.map(({ body }) => body), expected.answers);
    t.ok(world.idle);
  });
}
