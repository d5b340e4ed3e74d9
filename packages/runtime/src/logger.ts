import createDebug from "debug";

/** Values of a log line besides its sentence; `undefined` is omitted. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes log lines under the prefix of one part, if that is enabled. */
export type Logger = (sentence: string, fields?: LogFields) => void;

/** Formats of log lines: readable text, or one JSON object a line. */
export const logFormats = { text: "text", json: "json" } as const;

/** A value of `logFormats`. */
export type LogFormat = (typeof logFormats)[keyof typeof logFormats];

let format: LogFormat = logFormats.text;

/** Sets the format of all loggers and the pattern of enabled prefixes. */
export function configureLogs(newFormat: LogFormat, enabled: string): void {
  format = newFormat;
  createDebug.enable(enabled);
}

/** Creates the logger of one part, such as `entry:streams`. */
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
    write(`${sentence}${formatFields(fields)}`);
  };
}

/** Creates the logger of a program; each call names the part that logs. */
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

function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${value}`)
    .join("");
}
