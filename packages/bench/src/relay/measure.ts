import { request } from "undici";
import { readProcessUsage } from "../util/process_usage.ts";

/** Streams that are opened against one process. */
export interface RelayLoad {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: (prompt: string) => string;
  readonly prompt: string;
  /** Streams open at the same time. */
  readonly streams: number;
  /** Streams in all. */
  readonly total: number;
  /** Tokens of each stream. */
  readonly tokens: number;
}

/** What relaying a load cost. */
export interface RelayCost {
  readonly tokens: number;
  readonly requests: number;
  readonly seconds: number;
  readonly tokensPerSecond: number;
  readonly microsecondsPerToken: number;
  readonly microsecondsPerRequest: number;
  /** Share of one core. */
  readonly share: number;
  readonly residentMiB: number;
}

const mebibyte = 1_048_576;

/** Runs a load and returns the processor time that the process spent on it. */
export async function measureRelay(
  pid: number,
  load: RelayLoad,
): Promise<RelayCost> {
  const before = readProcessUsage(pid);
  const started = performance.now();
  let left = load.total;
  async function work(): Promise<void> {
    while (left > 0) {
      left -= 1;
      await readStream(load);
    }
  }
  await Promise.all(Array.from({ length: load.streams }, work));
  const seconds = (performance.now() - started) / 1_000;
  const after = readProcessUsage(pid);
  const spent = after.processorMicroseconds - before.processorMicroseconds;
  const tokens = load.total * load.tokens;
  return {
    tokens,
    requests: load.total,
    seconds,
    tokensPerSecond: tokens / seconds,
    microsecondsPerToken: spent / tokens,
    microsecondsPerRequest: spent / load.total,
    share: spent / (seconds * 1_000_000),
    residentMiB: after.residentBytes / mebibyte,
  };
}

const endMarker = "data: [DONE]";

async function readStream(load: RelayLoad): Promise<void> {
  const response = await request(load.url, {
    method: "POST",
    headers: { "content-type": "application/json", ...load.headers },
    body: load.body(load.prompt),
    bodyTimeout: 0,
  });
  let tail = "";
  for await (const chunk of response.body) {
    tail = (chunk as Buffer).toString("latin1").slice(-64);
  }
  if (response.statusCode !== 200 || !tail.includes(endMarker)) {
    throw new Error(`A stream ended with status ${response.statusCode}`);
  }
}
