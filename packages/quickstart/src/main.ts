import { KnownError } from "@lavenderferry/errors";
import { exitCodes } from "@lavenderferry/runtime";
import { describeError, version } from "@lavenderferry/settings";
import { cac } from "cac";
import { printLine } from "./print_line.ts";
import { Tour } from "./tour.ts";

const cli = cac("quickstart");
cli.option("--once", "Stop after the tour");
cli.help();
cli.version(version);

const knownOptions: ReadonlySet<string> = new Set([
  "--",
  "once",
  "help",
  "version",
]);

const tour = new Tour();
let stopping = false;

try {
  const { options } = cli.parse();
  const unknown = Object.keys(options).find((name) => !knownOptions.has(name));
  if (unknown !== undefined) {
    throw new KnownError(`Unknown option "--${unknown}"`, {
      kind: "bad_request",
    });
  }
  if (!options["help"] && !options["version"]) {
    process.once("SIGINT", () => void stop(exitCodes.ok));
    process.once("SIGTERM", () => void stop(exitCodes.ok));
    await tour.run();
    if (options["once"]) {
      await stop(exitCodes.ok);
    } else {
      printLine("\nStop with Ctrl-C");
    }
  }
} catch (error) {
  if (!stopping) {
    process.stderr.write(`quickstart: ${describeError(error)}\n`);
    const isUsageError = error instanceof KnownError &&
      error.kind === "bad_request";
    await stop(isUsageError ? exitCodes.usage : exitCodes.failed);
  }
}

async function stop(code: number): Promise<void> {
  stopping = true;
  await tour.stop();
  process.exit(code);
}
