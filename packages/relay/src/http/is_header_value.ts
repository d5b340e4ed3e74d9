import { areWritableHeaders } from "./are_writable_headers.ts";

/** Whether a text can be sent as the value of a header. */
export function isHeaderValue(text: string): boolean {
  return areWritableHeaders(["x", text]);
}
