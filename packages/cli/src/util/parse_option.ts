import { KnownError } from "@lavenderferry/errors";

/** Parses a version of the configuration, when the option is given. */
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

/** Parses a day in UTC, when the option is given. */
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
