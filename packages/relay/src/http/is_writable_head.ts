import { validateHeaderName, validateHeaderValue } from "node:http";
import type { AnswerHead } from "../relay_event.ts";

/** Lowest and highest status of a final answer. */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/**
 * Whether a head can be passed on to a caller. Node's parser accepts names and
 * statuses that its writer refuses with an exception.
 */
export function isWritableHead({ status, headers }: AnswerHead): boolean {
  if (status < minFinalStatus || status > maxFinalStatus) {
    return false;
  }
  try {
    for (let index = 0; index + 1 < headers.length; index += 2) {
      const name = headers[index] ?? "";
      validateHeaderName(name);
      validateHeaderValue(name, headers[index + 1] ?? "");
    }
    return true;
  } catch {
    return false;
  }
}
