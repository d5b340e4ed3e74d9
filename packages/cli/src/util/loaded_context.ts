import { KnownError } from "@lavenderferry/errors";
import { loadSettings } from "@lavenderferry/settings";
import type { CommandContext } from "../commands/command.ts";
import type { CliSettings } from "../settings.ts";
import { cliSettingsSchema } from "../settings.ts";
import { OperatorClient } from "./operator_client.ts";

/** Reads the settings once a command needs them; some need none. */
export class LoadedContext implements CommandContext {
  readonly json: boolean;
  readonly options: Readonly<Record<string, string | undefined>>;
  readonly #path: string | undefined;
  #settings: CliSettings | null = null;
  #client: OperatorClient | null = null;

  constructor(
    options: Readonly<Record<string, string | undefined>>,
    json: boolean,
  ) {
    this.json = json;
    this.options = options;
    this.#path = options["settings"];
  }

  /** The settings; throws where their file is missing or wrong. */
  get settings(): CliSettings {
    if (this.#path === undefined) {
      throw new KnownError("The option --settings is missing", {
        kind: "bad_request",
      });
    }
    this.#settings ??= loadSettings(this.#path, cliSettingsSchema);
    return this.#settings;
  }

  get client(): OperatorClient {
    this.#client ??= new OperatorClient(this.settings);
    return this.#client;
  }
}
