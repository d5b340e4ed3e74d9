import { toFailure } from "@lavenderferry/errors";

/** Returns whether an error comes from the command-line parser. */
export function isCommandLineError(error: unknown): error is Error {
  return error instanceof Error && error.name === "CACError";
}

/** Returns an error's message for the user who started the program. */
export function describeError(error: unknown): string {
  if (!isCommandLineError(error)) {
    return toFailure(error).message;
  }
  const message = error.message.replaceAll("`", '"');
  return message.charAt(0).toUpperCase() + message.slice(1);
}
