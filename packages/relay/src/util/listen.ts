import type { Server } from "node:http";
import type { SocketAddress } from "@lavenderferry/fleet";

/** Starts to listen; rejects if the address is not available. */
export function listen(
  server: Server,
  { ip, port }: SocketAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}
