import type { Server } from "node:http";
import type { Socket } from "../settings.ts";

/** Listens on a socket; rejects when it can not be taken. */
export function listen(server: Server, { ip, port }: Socket): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}
