import type { CliSettings } from "../settings.ts";
import type { OperatorClient } from "../util/operator_client.ts";

/** What a command works with. */
export interface CommandContext {
  readonly settings: CliSettings;
  readonly client: OperatorClient;
  /** Prints JSON in place of tables. */
  readonly json: boolean;
  /** Values of the command's own options, by name. */
  readonly options: Readonly<Record<string, string | undefined>>;
}

/** An option of one command. */
export interface CommandOption {
  /** Name and value, as `--from <day>`. */
  readonly usage: string;
  readonly description: string;
}

/** One command of the operators' command line. */
export interface Command {
  /** Name and arguments, as `apply <file>`. */
  readonly usage: string;
  readonly description: string;
  readonly options?: readonly CommandOption[];
  readonly run: (
    context: CommandContext,
    ...args: readonly string[]
  ) => Promise<void>;
}
