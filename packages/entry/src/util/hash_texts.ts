import { createHash } from "node:crypto";

/** Returns a digest of several texts that depends on where each one ends. */
export function hashTexts(texts: readonly string[]): string {
  return createHash("sha256").update(JSON.stringify(texts)).digest("base64url");
}
