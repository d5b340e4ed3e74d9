import type { DecisionLog } from "./decision_log.ts";
import { exitCodes } from "./process.ts";

/**
 * Exits once the log has ended, or kills the process if its reader does not
 * take the lines within the time limit.
 */
export async function endProcess(
  log: DecisionLog,
  code: number,
): Promise<void> {
  if (await log.end()) {
    process.exit(code);
  }
  process.stderr.write(
    "lavenderferry: the last lines of the log were not read\n",
  );
  // `process.exit` would block on the write that the reader stalls.
  process.kill(process.pid, "SIGKILL");
}

/**
 * Ends the process after an uncaught exception, once the log has ended.
 * `close` must stop serving at once, since the state may be inconsistent.
 */
export function endOnUncaughtException(
  log: DecisionLog,
  close: () => void,
): void {
  process.on("uncaughtException", (error) => {
    process.stderr.write(`${error.stack ?? String(error)}\n`);
    close();
    void endProcess(log, exitCodes.failed);
  });
}
