import { createDecisionLog } from "../decision_log.ts";
import { endOnUncaughtException } from "../end_process.ts";

// Writes three decisions and throws before they are flushed.
const log = createDecisionLog({ vm: "front-1" });
endOnUncaughtException(log, () => process.stderr.write("closed\n"));
for (const subject of ["r1", "r2", "r3"]) {
  const figures = { upstream: "engine-1" };
  const reason = "connection_lost";
  log.write({ kind: "drop", subject, reason, figures, at: Date.now() });
}
setImmediate(() => {
  throw new TypeError("The upstream is not known");
});
