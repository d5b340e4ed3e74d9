/** Address of a TCP socket. */
export interface SocketAddress {
  readonly ip: string;
  readonly port: number;
}

/** Parses an address of the form `ip:port`, split at its last colon. */
export function parseSocketAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
