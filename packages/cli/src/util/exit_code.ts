import { toFailure } from "@lavenderferry/errors";
import { exitCodes } from "@lavenderferry/runtime";
import { isParseError } from "@lavenderferry/settings";
import { StewardError } from "./operator_client.ts";

/** Returns the exit code that an error of a command leads to. */
export function exitCodeOf(error: unknown): number {
  if (error instanceof StewardError) {
    return exitCodes.failed;
  }
  const usage = isParseError(error) || toFailure(error).kind === "bad_request";
  return usage ? exitCodes.usage : exitCodes.failed;
}
