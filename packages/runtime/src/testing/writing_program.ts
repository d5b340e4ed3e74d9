import { createDecisionLog } from "../decision_log.ts";
import { endProcess } from "../end_process.ts";
import { exitCodes } from "../process.ts";

const lines = 60;

// Ends while a write is in progress and less than a whole write is buffered.
const log = createDecisionLog({ vm: "front-1" });
for (let index = 0; index < lines; index += 1) {
  const figures = { upstream: "engine-1" };
  const reason = "connection_lost";
  log.write({ kind: "drop", subject: `r${index}`, reason, figures, at: 5_000 });
}
void endProcess(log, exitCodes.ok);
