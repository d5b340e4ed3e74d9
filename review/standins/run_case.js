import { endAll } from "./relay.js";
import { Record } from "./record.js";

/** Longest run, in milliseconds. */
const limitMs = 115_000;

/**
 * Runs a case and exits: with 1 if the rule was broken, 0 if it held and 2 if
 * the case could not run.
 */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const finish = (code, text) => {
    record.add(text);
    record.write();
    endAll();
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  process.on("uncaughtException", (error) => finish(2, String(error.stack)));
  process.on("unhandledRejection", (error) => finish(2, String(error.stack)));
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.on(signal, () => finish(2, `Ended by ${signal}`));
  }
  setTimeout(() => finish(2, "The run took too long"), limitMs).unref();
  const broken = await play(record);
  finish(
    broken === null ? 0 : 1,
    broken === null ? "The rule held" : `The rule was broken: ${broken}`,
  );
}
