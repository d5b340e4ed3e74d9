import { createHash } from "node:crypto";

/** What two requests of one caller share if they are the same request. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path with its query. */
  readonly url: string;
  readonly body: Buffer;
  /**
   * Digests of the prompt's blocks, each of all blocks up to it; empty without a
   * prompt.
   */
  readonly prefix: readonly string[];
}

/** Characters of a digest; 6 bits each. */
const digestLength = 20;

/** Returns a digest of a request without its caller, of fixed length. */
export function digestContent(
  { method, host, url, body, prefix }: RequestContent,
): string {
  const head = JSON.stringify([method, host, url, prefix.slice(-1)]);
  return createHash("sha256").update(head).update(body).digest("base64url")
    .slice(0, digestLength);
}

/**
 * Returns the id that requests with the same content and caller share. `caller`
 * is the name of the workspace, or the key where there are no workspaces.
 */
export function fingerprintOf(contentDigest: string, caller: string): string {
  return createHash("sha256").update(JSON.stringify([contentDigest, caller]))
    .digest("base64url").slice(0, digestLength);
}
