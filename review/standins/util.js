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

/** Ports below those that the system gives to outgoing connections. */
const firstPort = 12_000;
const portCount = 18_000;

const taken = new Set();

/** Finds a number of loopback ports in a row that are free now. */
export async function findPorts(count) {
  for (let attempt = 0; attempt < 1_000; attempt++) {
    const first = firstPort + Math.floor(portCount * Math.random());
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const free = await Promise.all(
      ports.map((port) => !taken.has(port) && isFree(port)),
    );
    if (free.every((isPortFree) => isPortFree)) {
      for (const port of ports) {
        taken.add(port);
      }
      return ports;
    }
  }
  throw new Error(`No ${count} ports in a row are free`);
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
