import { createHmac, timingSafeEqual } from "node:crypto";

const signatureBytes = 16;

/** Returns the truncated HMAC-SHA-256 of a text, in base64url. */
export function sign(text: string, secret: string): string {
  return createHmac("sha256", secret)
    .update(text)
    .digest()
    .subarray(0, signatureBytes)
    .toString("base64url");
}

/** Returns whether a signature is valid; compares in constant time. */
export function signatureMatches(
  text: string,
  signature: string,
  secret: string,
): boolean {
  const expected = Buffer.from(sign(text, secret));
  const actual = Buffer.from(signature);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
