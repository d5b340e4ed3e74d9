import { toFailure } from "@lavenderferry/errors";
import { exitCodes } from "@lavenderferry/runtime";
import { isCommandLineError } from "@lavenderferry/settings";
import { StewardError } from "./operator_client.ts";

/**
 * Returns the exit code for an error: `usage` for wrong arguments or settings,
 * else `failed`. An error that a steward reports is never a usage error, even
 * if its kind is `bad_request`.
 */
export function exitCodeOf(error: unknown): number {
  if (error instanceof StewardError) {
    return exitCodes.failed;
  }
  const isUsageError = isCommandLineError(error) ||
    toFailure(error).kind === "bad_request";
  return isUsageError ? exitCodes.usage : exitCodes.failed;
}
