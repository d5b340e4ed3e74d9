import { KnownError } from "@lavenderferry/errors";
import { loadSettings } from "@lavenderferry/settings";
import type { CommandContext } from "../commands/command.ts";
import type { CliSettings } from "../settings.ts";
import { cliSettingsSchema } from "../settings.ts";
import { OperatorClient } from "./operator_client.ts";

/**
 * Context of a command that loads the settings on first use, as some commands
 * need none, such as `explain` with saved logs.
 */
export class LazyContext implements CommandContext {
  readonly json: boolean;
  readonly options: Readonly<Record<string, string | undefined>>;
  readonly #settingsPath: string | undefined;
  #settings: CliSettings | null = null;
  #client: OperatorClient | null = null;

  constructor(
    options: Readonly<Record<string, string | undefined>>,
    json: boolean,
  ) {
    this.json = json;
    this.options = options;
    this.#settingsPath = options["settings"];
  }

  /** Throws if the option `--settings` is missing or its file is invalid. */
  get settings(): CliSettings {
    if (this.#settingsPath === undefined) {
      throw new KnownError("The option --settings is missing", {
        kind: "bad_request",
      });
    }
    this.#settings ??= loadSettings(this.#settingsPath, cliSettingsSchema);
    return this.#settings;
  }

  get client(): OperatorClient {
    this.#client ??= new OperatorClient(this.settings);
    return this.#client;
  }
}
