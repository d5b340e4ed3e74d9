import createDebug from "debug";

/** Values that a log line carries beside its sentence. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes short sentences under the fixed prefix of one part. */
export type Logger = (sentence: string, fields?: LogFields) => void;

/** How log lines are written. */
export const logFormats = { text: "text", json: "json" } as const;

/** One of the log formats. */
export type LogFormat = (typeof logFormats)[keyof typeof logFormats];

let format: LogFormat = logFormats.text;

/** Sets the format of all loggers and enables the prefixes that match. */
export function configureLogs(next: LogFormat, enabled: string): void {
  format = next;
  createDebug.enable(enabled);
}

/** Creates the logger of one part, for example `entry:streams`. */
export function createLogger(part: string): Logger {
  const prefix = `lavenderferry:${part}`;
  const write = createDebug(prefix);
  return function log(sentence, fields = {}) {
    if (!write.enabled) {
      return;
    }
    if (format === logFormats.json) {
      const line = { at: new Date().toISOString(), part, sentence, ...fields };
      process.stderr.write(`${JSON.stringify(line)}\n`);
      return;
    }
    write(`${sentence}${describe(fields)}`);
  };
}

/** Creates a logger that takes the part of a program from each line. */
export function createProgramLogger(
  program: string,
): (part: string, sentence: string, fields: LogFields) => void {
  const loggers = new Map<string, Logger>();
  return function logFor(part, sentence, fields) {
    const log = loggers.get(part) ?? createLogger(`${program}:${part}`);
    loggers.set(part, log);
    log(sentence, fields);
  };
}

function describe(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${value}`)
    .join("");
}
