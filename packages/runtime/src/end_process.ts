import type { DecisionLog } from "./decision_log.ts";
import { exitCodes } from "./process.ts";

/** Ends the process once its log was read, or soon where nobody reads it. */
export async function endProcess(
  log: DecisionLog,
  code: number,
): Promise<void> {
  if (await log.settle()) {
    process.exit(code);
  }
  process.stderr.write("lavenderferry: the end of the log was not read\n");
  // An exit would wait for the write that the reader holds up.
  process.kill(process.pid, "SIGKILL");
}

/**
 * Ends the process after an error that nothing caught, once its log was read.
 * `close` gives up at once what it serves, as its state may be wrong.
 */
export function endOnUncaught(log: DecisionLog, close: () => void): void {
  process.on("uncaughtException", (error) => {
    process.stderr.write(`${error.stack ?? String(error)}\n`);
    close();
    void endProcess(log, exitCodes.failed);
  });
}
