#!/usr/bin/env node
import { KnownError } from "@lavenderferry/errors";
import { exitCodes } from "@lavenderferry/runtime";
import { describeError, version } from "@lavenderferry/settings";
import { cac } from "cac";
import type { Command } from "./commands/command.ts";
import { commands } from "./commands/mod.ts";
import { exitCodeOf } from "./util/exit_code.ts";
import { LazyContext } from "./util/lazy_context.ts";

const cli = cac("lavenderferry");
cli.option("--settings <file>", "Settings file in JSON with comments");
cli.option("--json", "Print JSON in place of tables");
cli.help();
cli.version(version);

for (const command of commands) {
  const registered = cli.command(command.usage, command.description);
  for (const { usage, description } of command.options ?? []) {
    registered.option(usage, description);
  }
  registered.action(async (...args: unknown[]) => {
    const options = args.pop() as Record<string, unknown>;
    await run(command, args, options);
  });
}

try {
  cli.parse(process.argv, { run: false });
  if (cli.matchedCommand === undefined && !requestsHelp(cli.options)) {
    throw new KnownError(describeMissingCommand(cli.args), {
      kind: "bad_request",
    });
  }
  await cli.runMatchedCommand();
} catch (error) {
  process.stderr.write(`lavenderferry: ${describeError(error)}\n`);
  process.exitCode = exitCodeOf(error);
}

async function run(
  command: Command,
  args: readonly unknown[],
  rawOptions: Readonly<Record<string, unknown>>,
): Promise<void> {
  const optionTexts = Object.entries(rawOptions).map(([name, value]) =>
    [name, value === undefined ? undefined : String(value)] as const
  );
  const options = Object.fromEntries(optionTexts);
  const commandArgs = args.flat()
    .filter((arg) => arg !== undefined)
    .map(String);
  await command.run(
    new LazyContext(options, rawOptions["json"] === true),
    ...commandArgs,
  );
  process.exitCode ??= exitCodes.ok;
}

function requestsHelp(options: Readonly<Record<string, unknown>>): boolean {
  return Boolean(options["help"] ?? options["version"]);
}

function describeMissingCommand([name]: readonly string[]): string {
  return name === undefined
    ? "Expected a command; see --help"
    : `Unknown command "${name}"; see --help`;
}
