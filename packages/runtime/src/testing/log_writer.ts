import { monitorEventLoopDelay, performance } from "node:perf_hooks";
import { createDecisionLog } from "../decision_log.ts";

/** Failures written in each turn; some 3 MB in all, three times the room. */
const linesPerTurn = 200;
const turns = 100;
const turnMs = 5;
const nanosecondsPerMs = 1_000_000;

// Writes decisions to a standard output that may have no reader, and says on
// standard error how long the longest turn took and whether all was read.
const log = createDecisionLog({ vm: "front-1" });
const delay = monitorEventLoopDelay({ resolution: turnMs });
delay.enable();
let turn = 0;

function write(): void {
  for (let index = 0; index < linesPerTurn; index += 1) {
    log.write({
      kind: "drop",
      subject: `request-${turn}-${index}`,
      reason: "connection_lost",
      figures: { upstream: "engine-1", events: index, runs: 1, sends: 1 },
      at: Math.round(performance.now()),
    });
  }
  turn += 1;
  if (turn < turns) {
    setTimeout(write, turnMs);
  } else {
    void report();
  }
}

async function report(): Promise<void> {
  const longestPauseMs = Math.round(delay.max / nanosecondsPerMs);
  const read = await log.settle();
  process.stderr.write(JSON.stringify({ longestPauseMs, read }), () => {
    // As a relay ends: an exit would wait for the reader.
    process.kill(process.pid, "SIGKILL");
  });
}

write();
