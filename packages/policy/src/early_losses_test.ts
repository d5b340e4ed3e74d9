import t from "tap";
import { EarlyLosses, isEarlyLoss } from "./early_losses.ts";

const atMs = (monotonic: number) => ({ monotonic, wall: 0 });

interface Loss {
  readonly engine: string;
  readonly at: number;
  /** Monotonic milliseconds at which the attempt was sent. */
  readonly sentAt?: number;
}

function promptOf(attemptId: string, ...blocks: readonly string[]) {
  return { address: "a:1", attemptId, blocks };
}

/** Records the losses of attempts and returns what follows for each engine. */
function findingsOf(...losses: readonly Loss[]) {
  const early = new EarlyLosses();
  for (const { engine, at, ...attempt } of losses) {
    early.recordConnection(engine, atMs(at), attempt);
    early.record(engine, promptOf("a1", "x"), atMs(at));
  }
  return losses.map(({ engine }) => early.assess(engine)?.kind ?? null);
}

t.test("an engine is checked once after early losses", (t) => {
  const early = new EarlyLosses();
  const at = atMs(1_000);
  early.recordConnection("e1", at);
  const checkAt = early.record("e1", promptOf("a1", "x"), at);
  t.equal(checkAt, 1_150);
  t.equal(early.record("e1", promptOf("a2", "y"), at), null);
  t.strictSame(early.due(atMs(1_149)), []);
  t.strictSame(early.due(atMs(1_150)), ["e1"]);
  t.strictSame(early.assess("e1"), { kind: "check_engine", address: "a:1" });
  t.strictSame(early.due(atMs(1_150)), [], "the check was decided on");
  t.ok(early.isPending("e1"));
  t.strictSame(early.take("e1")?.prompts, [
    { attemptId: "a1", blocks: ["x"] },
    { attemptId: "a2", blocks: ["y"] },
  ]);
  t.notOk(early.isPending("e1"));
  t.equal(early.assess("e1"), null);
  t.end();
});

t.test("losses at three engines at once are a fault of the network", (t) => {
  t.strictSame(
    findingsOf(
      { engine: "e1", at: 1_000 },
      { engine: "e2", at: 1_015 },
      { engine: "e3", at: 1_030 },
    ),
    ["network_fault", "network_fault", "network_fault"],
  );
  t.strictSame(
    findingsOf({ engine: "e1", at: 1_000 }, { engine: "e2", at: 1_000 }),
    ["check_engine", "check_engine"],
  );
  t.strictSame(
    findingsOf(
      { engine: "e1", at: 1_000 },
      { engine: "e2", at: 1_000 },
      { engine: "e3", at: 1_031 },
    ),
    ["check_engine", "check_engine", "check_engine"],
  );
  t.end();
});

// A prompt that starts at another engine at once ends that one right away, which
// is no sign of a fault of the network.
t.test("a loss of an attempt sent after another loss is its own", (t) => {
  t.strictSame(
    findingsOf(
      { engine: "e1", at: 1_000, sentAt: 900 },
      { engine: "e2", at: 1_001, sentAt: 900 },
      { engine: "e3", at: 1_020, sentAt: 1_010 },
    ),
    ["check_engine", "check_engine", "check_engine"],
  );
  t.strictSame(
    findingsOf(
      { engine: "e1", at: 1_000, sentAt: 900 },
      { engine: "e2", at: 1_001, sentAt: 900 },
      { engine: "e3", at: 1_020, sentAt: 1_010 },
      { engine: "e3", at: 1_020, sentAt: 950 },
    ),
    ["network_fault", "network_fault", "network_fault", null],
    "an older attempt was lost as well",
  );
  t.end();
});

t.test("a loss is early until shortly after the first event", (t) => {
  t.ok(isEarlyLoss(null, atMs(9_000)));
  t.ok(isEarlyLoss(1_000, atMs(1_500)));
  t.notOk(isEarlyLoss(1_000, atMs(1_501)));
  t.end();
});
