const connectCodes: readonly unknown[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
];

/**
 * Whether the error proves that no byte of the request was sent.
 * A route can also vanish under an open connection, so the codes count only
 * for the connect itself.
 */
export function neverSent(error: unknown): boolean {
  const { code, syscall } = (error ?? {}) as {
    code?: unknown;
    syscall?: unknown;
  };
  return code === "UND_ERR_CONNECT_TIMEOUT" ||
    (syscall === "connect" && connectCodes.includes(code));
}
