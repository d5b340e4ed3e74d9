import { monitorEventLoopDelay, performance } from "node:perf_hooks";
import { createDecisionLog } from "../decision_log.ts";
import { endProcess } from "../end_process.ts";
import { exitCodes } from "../process.ts";

/** Decisions per turn; all turns write 3 MB, three times the log's buffer. */
const linesPerTurn = 200;
const turns = 100;
const turnMs = 5;
const nanosecondsPerMs = 1_000_000;

// Writes decisions to a standard output that may have no reader, reports the
// longest delay of the event loop on standard error and ends by `endProcess`,
// as a relay does.
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
  process.stderr.write(`${JSON.stringify({ longestPauseMs })}\n`);
  await endProcess(log, exitCodes.ok);
}

write();
