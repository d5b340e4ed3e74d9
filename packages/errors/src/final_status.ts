/** Lowest and highest HTTP status of a final answer. */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/**
 * Returns the status of a final answer, or `null` if none can have it. What such
 * an answer says of its request is not to be believed either.
 */
export function readFinalStatus(status: number | undefined): number | null {
  return status !== undefined && Number.isInteger(status) &&
      status >= minFinalStatus && status <= maxFinalStatus
    ? status
    : null;
}
