import type { Socket } from "../settings.ts";

/** Splits an address at its last colon. */
export function socketOf(address: string): Socket {
  const end = address.lastIndexOf(":");
  return { ip: address.slice(0, end), port: Number(address.slice(end + 1)) };
}
