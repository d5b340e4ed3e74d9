import type { CliSettings } from "../settings.ts";
import type { OperatorClient } from "../util/operator_client.ts";

/** Settings, client and options that a command runs with. */
export interface CommandContext {
  readonly settings: CliSettings;
  readonly client: OperatorClient;
  /** Whether to print JSON in place of tables. */
  readonly json: boolean;
  /** Values of all given options, by name in camel case. */
  readonly options: Readonly<Record<string, string | undefined>>;
}

/** An option that a command takes besides those of every command. */
export interface CommandOption {
  /** Name and value in the syntax of `cac`, such as `--from <day>`. */
  readonly usage: string;
  readonly description: string;
}

/** A command of the operators' command line, such as `apply`. */
export interface Command {
  /** Name and arguments in the syntax of `cac`, such as `apply <file>`. */
  readonly usage: string;
  readonly description: string;
  readonly options?: readonly CommandOption[];
  readonly run: (
    context: CommandContext,
    ...args: readonly string[]
  ) => Promise<void>;
}
