import { createServer } from "node:net";

export function sleep(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

export async function readText(stream) {
  const chunks = [];
  for await (const chunk of stream) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/** Resolves once a check returns true; throws after a time limit. */
export async function waitUntil(check, what, limitMs = 15_000) {
  const deadline = performance.now() + limitMs;
  while (!await check()) {
    if (performance.now() > deadline) {
      throw new Error(`Timed out while waiting for ${what}`);
    }
    await sleep(20);
  }
}

/** Finds loopback ports that are free now. */
export async function findPorts(count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** Whether a loopback port is free now. */
export function isFree(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.on("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Returns numbers from 0 up to 1, the same ones for the same seed. */
export function createRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
