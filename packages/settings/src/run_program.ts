import { KnownError, toFailure } from "@lavenderferry/errors";
import { configureLogs, exitCodes } from "@lavenderferry/runtime";
import { cac } from "cac";
import type { z } from "zod";
import { isCommandLineError } from "./describe_error.ts";
import { loadSettings } from "./load_settings.ts";
import type { logsSchema } from "./schemas.ts";
import { describeStartError } from "./util/describe_start_error.ts";
import { version } from "./version.ts";

/** A daemon that is started from a settings file. */
export interface Program<Schema extends z.ZodType> {
  readonly name: string;
  readonly schema: Schema;
  readonly start: (settings: z.output<Schema>) => Promise<void>;
}

/** Settings that include those of the logs. */
type SettingsWithLogs = { readonly logs: z.output<typeof logsSchema> };

/**
 * Parses the command line, checks the settings and starts a daemon. Prints the
 * message of an error and ends the process with an exit code.
 */
export async function runProgram<Schema extends z.ZodType<SettingsWithLogs>>(
  program: Program<Schema>,
): Promise<void> {
  const cli = cac(program.name);
  cli.usage("--settings <file>");
  cli.option("--settings <file>", "Settings file in JSON with comments");
  cli.help();
  cli.version(version);
  try {
    const { args, options } = cli.parse();
    if (options["help"] || options["version"]) {
      return;
    }
    checkOptions(options);
    checkArguments(args);
    const settings = loadSettings(String(options["settings"]), program.schema);
    configureLogs(settings.logs.format, settings.logs.enabled);
    await program.start(settings);
  } catch (error) {
    process.stderr.write(`${program.name}: ${describeStartError(error)}\n`);
    process.exit(isUsageError(error) ? exitCodes.usage : exitCodes.failed);
  }
}

function isUsageError(error: unknown): boolean {
  return isCommandLineError(error) || toFailure(error).kind === "bad_request";
}

function checkOptions(options: Readonly<Record<string, unknown>>): void {
  for (const name of Object.keys(options)) {
    if (name !== "settings" && name !== "--") {
      throw new KnownError(`Unknown option "${name}"`, { kind: "bad_request" });
    }
  }
  if (typeof options["settings"] !== "string") {
    throw new KnownError("The option --settings is missing", {
      kind: "bad_request",
    });
  }
}

function checkArguments([unexpected]: readonly string[]): void {
  if (unexpected !== undefined) {
    throw new KnownError(`Unexpected argument "${unexpected}"`, {
      kind: "bad_request",
    });
  }
}
