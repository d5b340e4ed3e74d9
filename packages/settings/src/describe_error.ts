import { toFailure } from "@lavenderferry/errors";

/** Returns whether the command line could not be parsed. */
export function isParseError(error: unknown): error is Error {
  return error instanceof Error && error.name === "CACError";
}

/** Words an error for the person who started the program. */
export function describeError(error: unknown): string {
  if (!isParseError(error)) {
    return toFailure(error).message;
  }
  const sentence = error.message.replaceAll("`", '"');
  return sentence.charAt(0).toUpperCase() + sentence.slice(1);
}
