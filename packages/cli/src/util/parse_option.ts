import { KnownError } from "@lavenderferry/errors";

/** Parses a configuration version; `undefined` if the option is absent. */
export function parseVersion(
  option: string,
  text: string | undefined,
): number | undefined {
  if (text === undefined) {
    return undefined;
  }
  if (!/^\d+$/.test(text)) {
    throw new KnownError(`${option}: expected a version, not "${text}"`, {
      kind: "bad_request",
    });
  }
  return Number(text);
}

/** Validates a day in UTC; `undefined` if the option is absent. */
export function parseDay(
  option: string,
  text: string | undefined,
): string | undefined {
  if (text === undefined) {
    return undefined;
  }
  const valid = /^\d{4}-\d{2}-\d{2}$/.test(text) &&
    !Number.isNaN(Date.parse(text));
  if (!valid) {
    throw new KnownError(
      `${option}: expected a day as YYYY-MM-DD, not "${text}"`,
      { kind: "bad_request" },
    );
  }
  return text;
}
