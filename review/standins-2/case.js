// Runs one case: exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { RecordFile, Relays } from "./system.js";

const root = fileURLToPath(new URL("../..", import.meta.url));

/** Time after which a case counts as one that could not run. */
const limitMs = 110_000;

/**
 * Plays a case, which resolves with whether the rule was broken. The stand-ins are
 * servers of this process; the relays are processes of their own.
 */
export async function runCase(url, play) {
  const folder = fileURLToPath(new URL(".", url));
  const record = new RecordFile(join(folder, "record.txt"));
  const trouble = process.env.TROUBLE !== "0";
  const relays = new Relays(root);
  const finish = async (code, text) => {
    record.write(text);
    process.stdout.write(`${text}\n`);
    await relays.close();
    process.exit(code);
  };
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => void finish(2, "stopped from outside"));
  }
  setTimeout(() => void finish(2, "took too long"), limitMs).unref();
  record.write(trouble ? "with the disruption" : "without the disruption");
  try {
    const isBroken = await play({ record, relays, trouble });
    await finish(isBroken ? 1 : 0, isBroken ? "rule broken" : "rule held");
  } catch (error) {
    await finish(2, `could not run: ${error.stack}`);
  }
}
