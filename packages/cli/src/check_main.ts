#!/usr/bin/env node
import { entrySettingsSchema } from "@lavenderferry/entry";
import { KnownError } from "@lavenderferry/errors";
import { describeError, loadSettings, version } from "@lavenderferry/settings";
import { stewardSettingsSchema } from "@lavenderferry/steward";
import { cac } from "cac";
import type { z } from "zod";
import { cliSettingsSchema } from "./settings.ts";
import { exitCodeOf } from "./util/exit_code.ts";
import { statementFileSchema } from "./util/statement_file.ts";

const schemas: Readonly<Record<string, z.ZodType>> = {
  entry: entrySettingsSchema,
  steward: stewardSettingsSchema,
  operator: cliSettingsSchema,
  configuration: statementFileSchema,
};

const knownOptions: ReadonlySet<string> = new Set(["--", "help", "version"]);

const cli = cac("lavenderferry-check");
cli.usage(`<${Object.keys(schemas).join("|")}> <file>`);
cli.help();
cli.version(version);

try {
  const { args, options } = cli.parse();
  if (!options["help"] && !options["version"]) {
    checkOptions(options);
    check(args);
  }
} catch (error) {
  process.stderr.write(`lavenderferry-check: ${describeError(error)}\n`);
  process.exitCode = exitCodeOf(error);
}

function checkOptions(options: Readonly<Record<string, unknown>>): void {
  const unknown = Object.keys(options).find((name) => !knownOptions.has(name));
  if (unknown !== undefined) {
    throw new KnownError(`Unknown option "--${unknown}"`, {
      kind: "bad_request",
    });
  }
}

function check([kind, file, ...rest]: readonly string[]): void {
  const schema = schemas[kind ?? ""];
  if (schema === undefined || file === undefined || rest.length > 0) {
    const kinds = Object.keys(schemas).join(", ");
    throw new KnownError(`Expected a kind of file (${kinds}) and one file`, {
      kind: "bad_request",
    });
  }
  loadSettings(file, schema);
  process.stdout.write(`${file}: no errors found\n`);
}
