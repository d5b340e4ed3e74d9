/**
 * Retry delay for callers whose request does not fit into memory, in
 * milliseconds.
 */
export const memoryRetryMs = 500;
