import { spawn } from "node:child_process";
import { once } from "node:events";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import t from "tap";
import { createDecisionLog } from "./decision_log.ts";
import type { Decision } from "./decisions.ts";

function decisionOf(change: Partial<Decision> = {}): Decision {
  return {
    kind: "refuse",
    subject: "r1",
    reason: "overloaded",
    figures: { waitMs: 7 },
    at: 5_000,
    ...change,
  };
}

function logOf() {
  const lines: Record<string, unknown>[] = [];
  const write = (line: string) => {
    lines.push(JSON.parse(line) as Record<string, unknown>);
  };
  const { write: log } = createDecisionLog({ vm: "front-1" }, { write });
  return { lines, log };
}

t.test("a decision is one line with its inputs", (t) => {
  const { lines, log } = logOf();
  log(decisionOf());
  t.match(lines, [{
    vm: "front-1",
    at: 5_000,
    kind: "refuse",
    subject: "r1",
    reason: "overloaded",
    figures: { waitMs: 7 },
  }]);
  t.end();
});

t.test("the volume is bounded, and what is left out is counted", (t) => {
  const { lines, log } = logOf();
  for (let index = 0; index < 1_000; index++) {
    log(decisionOf({ kind: "choose", subject: `r${index}` }));
  }
  t.equal(lines.length, 50);
  log(decisionOf({ kind: "choose", reason: "not_ready" }));
  t.equal(lines.length, 51, "another reason has a bound of its own");
  log(decisionOf({ kind: "choose", at: 6_000 }));
  t.equal(lines.at(-1)?.["leftOut"], 950);
  t.end();
});

t.test("failures are never left out", (t) => {
  const { lines, log } = logOf();
  for (let index = 0; index < 1_000; index++) {
    log(decisionOf({ kind: "refuse", subject: `r${index}` }));
    log(decisionOf({ kind: "drop", subject: `r${index}` }));
  }
  t.equal(lines.length, 2_000);
  t.end();
});

t.test("lines that find no room are counted in the next one", (t) => {
  const lines: Record<string, unknown>[] = [];
  let full = false;
  let dropped: () => void = () => undefined;
  const { write: log } = createDecisionLog({ vm: "front-1" }, {
    write: (line) => {
      if (full) {
        dropped();
      } else {
        lines.push(JSON.parse(line) as Record<string, unknown>);
      }
    },
    on: (_event, listener) => {
      dropped = listener;
    },
  });
  full = true;
  for (let index = 0; index < 3; index++) {
    log(decisionOf());
  }
  full = false;
  log(decisionOf());
  log(decisionOf());
  t.strictSame(lines.map((line) => line["unread"]), [3, undefined]);
  t.end();
});

/** Runs a program of the tests; its standard output is read or not. */
async function run(name: string, read: boolean) {
  const program = new URL(`./testing/${name}.js`, import.meta.url);
  const child = spawn(process.execPath, [fileURLToPath(program)], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  const ended = once(child, "exit");
  const [output, errors] = await Promise.all([
    read ? text(child.stdout) : "",
    text(child.stderr),
  ]);
  const [code] = await ended as [number | null];
  return { code, errors, lines: output.split("\n").length - 1 };
}

/** Writes 3 MB of decisions in half a second. */
async function writeLog(read: boolean) {
  const { code, errors, lines } = await run("log_writer", read);
  const [report = ""] = errors.split("\n");
  const { longestPauseMs } = JSON.parse(report) as {
    readonly longestPauseMs: number;
  };
  return { longestPauseMs, read: code === 0, lines };
}

/** Milliseconds: the strictest target between two events of a stream. */
const pauseTargetMs = 180;

t.test("a reader that stopped delays nothing, nor the end", async (t) => {
  const { longestPauseMs, read } = await writeLog(false);
  t.equal(read, false);
  t.ok(longestPauseMs < pauseTargetMs, `paused ${longestPauseMs} ms`);
});

t.test("a reader that reads gets every failure", async (t) => {
  const { longestPauseMs, read, lines } = await writeLog(true);
  t.equal(read, true);
  t.equal(lines, 20_000);
  t.ok(longestPauseMs < pauseTargetMs, `paused ${longestPauseMs} ms`);
});

t.test("the last lines before an error that nothing caught are written", async (t) => {
  const { code, errors, lines } = await run("failing_program", true);
  t.equal(lines, 3);
  t.equal(code, 1);
  t.match(errors, /TypeError: The upstream is not known/);
  t.match(errors, /^closed$/m, "what it served is given up");
});

t.test("an error that nothing caught ends it without a reader too", async (t) => {
  const { errors } = await run("failing_program", false);
  t.match(errors, /TypeError: The upstream is not known/);
});
