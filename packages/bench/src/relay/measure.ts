import { request } from "undici";
import { readProcessUsage } from "../util/process_usage.ts";

/** Streams that are requested from one process. */
export interface RelayLoad {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly createBody: (prompt: string) => string;
  readonly prompt: string;
  /** Number of streams that are open at the same time. */
  readonly concurrentStreams: number;
  /** Number of streams in the whole load. */
  readonly totalStreams: number;
  /** Number of tokens that each stream consists of. */
  readonly tokensPerStream: number;
}

/** Processor time and memory that one process needed for a load. */
export interface RelayCost {
  readonly tokens: number;
  readonly requests: number;
  readonly seconds: number;
  readonly tokensPerSecond: number;
  readonly microsecondsPerToken: number;
  readonly microsecondsPerRequest: number;
  /** Mean fraction of one core in use; above 1 on several cores. */
  readonly share: number;
  /** Resident memory at the end of the load. */
  readonly residentMiB: number;
}

const bytesPerMebibyte = 1_048_576;

/** Runs a load and returns what it cost the process `pid`. */
export async function measureRelay(
  pid: number,
  load: RelayLoad,
): Promise<RelayCost> {
  const before = readProcessUsage(pid);
  const startedAt = performance.now();
  let remainingStreams = load.totalStreams;
  async function readStreams(): Promise<void> {
    while (remainingStreams > 0) {
      remainingStreams -= 1;
      await readStream(load);
    }
  }
  await Promise.all(
    Array.from({ length: load.concurrentStreams }, readStreams),
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  const after = readProcessUsage(pid);
  const spentMicroseconds = after.processorMicroseconds -
    before.processorMicroseconds;
  const tokens = load.totalStreams * load.tokensPerStream;
  return {
    tokens,
    requests: load.totalStreams,
    seconds,
    tokensPerSecond: tokens / seconds,
    microsecondsPerToken: spentMicroseconds / tokens,
    microsecondsPerRequest: spentMicroseconds / load.totalStreams,
    share: spentMicroseconds / (seconds * 1_000_000),
    residentMiB: after.residentBytes / bytesPerMebibyte,
  };
}

const endMarker = "data: [DONE]";

async function readStream(load: RelayLoad): Promise<void> {
  const response = await request(load.url, {
    method: "POST",
    headers: { "content-type": "application/json", ...load.headers },
    body: load.createBody(load.prompt),
    bodyTimeout: 0,
  });
  let lastText = "";
  for await (const chunk of response.body) {
    lastText = (chunk as Buffer).toString("latin1").slice(-64);
  }
  if (response.statusCode !== 200 || !lastText.includes(endMarker)) {
    throw new Error(
      `Stream failed or incomplete: status ${response.statusCode}`,
    );
  }
}
