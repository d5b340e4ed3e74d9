const connectErrorCodes: readonly unknown[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
];

/**
 * Whether the error proves that no byte of the request was sent. The codes
 * prove it only for `connect`: a route can also disappear while a connection is
 * open, and a request on it may have been sent.
 */
export function neverSent(error: unknown): boolean {
  const { code, syscall } = (error ?? {}) as {
    code?: unknown;
    syscall?: unknown;
  };
  return code === "UND_ERR_CONNECT_TIMEOUT" ||
    (syscall === "connect" && connectErrorCodes.includes(code));
}
