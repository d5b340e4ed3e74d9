const unsentCodes: readonly unknown[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** Whether the error proves that no byte of the request was sent. */
export function neverSent(error: unknown): boolean {
  return unsentCodes.includes((error as { code?: unknown } | null)?.code);
}
