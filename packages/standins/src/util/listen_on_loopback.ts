import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Listens on a free loopback port; returns host and port. */
export async function listenOnLoopback(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
