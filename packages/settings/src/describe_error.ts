import { toFailure } from "@lavenderferry/errors";

/** Returns whether an error is one of the command-line parser's. */
export function isParseError(error: unknown): error is Error {
  return error instanceof Error && error.name === "CACError";
}

/** Returns an error's message for the user who started the program. */
export function describeError(error: unknown): string {
  if (!isParseError(error)) {
    return toFailure(error).message;
  }
  const sentence = error.message.replaceAll("`", '"');
  return sentence.charAt(0).toUpperCase() + sentence.slice(1);
}
