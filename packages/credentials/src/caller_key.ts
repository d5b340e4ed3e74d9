import { sign, signatureMatches } from "./util/sign.ts";

const prefix = "lf1";

/** Creates the key by which the callers of a workspace authenticate. */
export function createCallerKey(workspace: string, secret: string): string {
  return `${prefix}.${workspace}.${sign(`${prefix}.${workspace}`, secret)}`;
}

/** Returns the key's workspace, or `null` when the key is not valid. */
export function verifyCallerKey(key: string, secret: string): string | null {
  const [version, workspace, signature, ...rest] = key.split(".");
  if (
    version !== prefix || !workspace || signature === undefined ||
    rest.length > 0
  ) {
    return null;
  }
  const text = `${version}.${workspace}`;
  return signatureMatches(text, signature, secret) ? workspace : null;
}
