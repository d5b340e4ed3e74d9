import type { AnswerHead } from "../relay_event.ts";
import { areWritableHeaders } from "./are_writable_headers.ts";

/** Lowest and highest status of a final answer. */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/** Whether a head can be passed on to a caller as that of a final answer. */
export function isWritableHead({ status, headers }: AnswerHead): boolean {
  return status >= minFinalStatus && status <= maxFinalStatus &&
    areWritableHeaders(headers);
}
