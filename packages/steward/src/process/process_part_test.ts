import type { Configuration } from "@lavenderferry/configuration";
import { emptyConfiguration } from "@lavenderferry/configuration";
import { KnownError } from "@lavenderferry/errors";
import t from "tap";
import type { StewardEffect } from "../effects.ts";
import type { StewardEvent } from "../events.ts";
import { reduceSteward } from "../reduce.ts";
import { stewardSettingsSchema } from "../settings.ts";
import type { StewardState } from "../state.ts";
import { createStewardState } from "../state.ts";

const settings = stewardSettingsSchema.parse({
  vm: "steward-0",
  dataCentre: "krakow",
  region: "centre",
  peers: { ip: "127.0.0.1", port: 1 },
  operators: { ip: "127.0.0.1", port: 2 },
  platform: "http://127.0.0.1:3",
  operatorKeys: { operator: "key-of-the-operator-in-the-tests" },
});

function createState(): StewardState {
  return createStewardState(settings, "000000000005");
}

function reduce(
  state: StewardState,
  event: StewardEvent,
  monotonic = 0,
): readonly StewardEffect[] {
  return reduceSteward(state, { ...event, at: { monotonic, wall: 0 } });
}

function exitsOf(effects: readonly StewardEffect[]) {
  return effects.filter(({ kind }) => kind === "exit");
}

t.test("a second Drain leaves the planned stop as it is", (t) => {
  const state = createState();
  reduce(state, { kind: "stop_requested" });
  t.strictSame(reduce(state, { kind: "stop_requested" }), []);
  t.end();
});

t.test("only the second signal ends the process at once", (t) => {
  const state = createState();
  const exits =
    (["stop_requested", "stop_signalled", "stop_signalled"] as const)
      .map((kind) => exitsOf(reduce(state, { kind })).length);
  t.strictSame(exits, [0, 0, 1]);
  t.end();
});

const apply = {
  kind: "operator_requested",
  replyId: "reply",
  operator: "ida",
  operation: {
    kind: "apply",
    ifVersion: 0,
    statement: { partners: {}, splits: {}, classes: {} },
  },
} as const;

t.test("a stopping steward refuses a change", (t) => {
  const state = createState();
  reduce(state, { kind: "stop_requested" });
  t.match(reduce(state, apply), [
    {
      kind: "refuse_operator",
      replyId: "reply",
      failure: { kind: "draining" },
    },
  ]);
  t.end();
});

t.test("the exit waits until an accepted change is answered", (t) => {
  const state = createState();
  reduce(state, apply);
  reduce(state, { kind: "stop_requested" });
  const timer = { kind: "timer_fired", timer: "exchange" } as const;
  t.equal(exitsOf(reduce(state, timer, 5_000)).length, 0);
  const failure = new KnownError("Down", { kind: "store_unavailable" });
  reduce(state, { kind: "operation_failed", replyId: "reply", failure }, 5_000);
  t.match(exitsOf(reduce(state, timer, 5_100)), [{ immediate: false }]);
  t.end();
});

t.test("an unanswered change does not hold up the forced exit", (t) => {
  const state = createState();
  reduce(state, apply);
  reduce(state, { kind: "stop_requested" });
  const timer = { kind: "timer_fired", timer: "force_exit" } as const;
  t.match(exitsOf(reduce(state, timer, 15_000)), [{ immediate: true }]);
  t.end();
});

function versionOf(version: number): Configuration {
  return {
    ...emptyConfiguration,
    version,
    statement: { partners: {}, splits: {}, classes: {} },
  };
}

// The table had lost the newest version, and its number was given out again.
t.test("a steward writes configurations again that the table has lost", (t) => {
  const state = createState();
  const [second, third] = [versionOf(2), versionOf(3)];
  for (const configuration of [second, third]) {
    reduce(state, { kind: "configuration_read", configuration });
  }
  const expected = [
    { kind: "write_configurations_again", configurations: [second, third] },
  ];
  const isWrite = ({ kind }: StewardEffect) =>
    kind === "write_configurations_again";
  const read = { kind: "configuration_read", configuration: second } as const;
  t.match(reduce(state, read).filter(isWrite), expected);
  const lease = { kind: "lease_read", duty: "d", row: null } as const;
  t.strictSame(reduce(state, { ...lease, era: 0 }).filter(isWrite), []);
  t.match(reduce(state, { ...lease, era: 1 }).filter(isWrite), expected);
  t.end();
});
