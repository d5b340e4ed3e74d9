import { validateHeaderName, validateHeaderValue } from "node:http";

/**
 * Whether Node can write raw headers, names and values alternating. Its parser
 * accepts names that its writer refuses with an exception.
 */
export function areWritableHeaders(raw: readonly string[]): boolean {
  try {
    for (let index = 0; index + 1 < raw.length; index += 2) {
      const name = raw[index] ?? "";
      validateHeaderName(name);
      validateHeaderValue(name, raw[index + 1] ?? "");
    }
    return true;
  } catch {
    return false;
  }
}
