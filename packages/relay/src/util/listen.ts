import type { Server } from "node:http";
import type { Socket } from "../settings.ts";

/** Starts to listen; rejects if the address is not available. */
export function listen(server: Server, { ip, port }: Socket): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}
