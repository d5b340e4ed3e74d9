import type { Server } from "node:net";
import { createServer } from "node:net";
import { setTimeout } from "node:timers/promises";
import type { SocketAddress } from "@lavenderferry/fleet";

/** Tries to listen on an address that is taken, and their distance. */
const maxTries = 50;
const retryMs = 100;

/** Starts to listen; rejects if the address stays unavailable for seconds. */
export function listen(
  server: Server,
  { ip, port }: SocketAddress,
): Promise<void> {
  return retryListen(() =>
    new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, ip, () => {
        server.off("error", reject);
        resolve();
      });
    })
  );
}

/** Waits until nothing listens on an address; rejects after seconds. */
export async function waitUntilFree(address: SocketAddress): Promise<void> {
  const server = createServer();
  await listen(server, address);
  await new Promise((resolve) => server.close(resolve));
}

/**
 * Calls `tryToListen` until it resolves. The process before, or a connection to
 * elsewhere, may hold the port for a moment.
 */
async function retryListen<Result>(
  tryToListen: () => Promise<Result>,
): Promise<Result> {
  for (let tries = 1;; tries++) {
    try {
      return await tryToListen();
    } catch (error) {
      if (tries === maxTries) {
        throw error;
      }
      await setTimeout(retryMs);
    }
  }
}
