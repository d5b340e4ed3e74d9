import { isIP } from "node:net";
import { z } from "zod";

const maxPort = 65_535;

const portPattern = /^\d{1,5}$/;

/** Schema of the address of a TCP socket, as `ip:port` with an IP number. */
export const socketAddressSchema = z.string().refine(isSocketAddress);

function isSocketAddress(address: string): boolean {
  const colon = address.lastIndexOf(":");
  const port = address.slice(colon + 1);
  return isIP(address.slice(0, colon)) !== 0 && portPattern.test(port) &&
    Number(port) >= 1 && Number(port) <= maxPort;
}
