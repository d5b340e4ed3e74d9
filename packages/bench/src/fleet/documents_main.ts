import type {
  DocumentContent,
  DocumentEvent,
  EncodedDocument,
  Versioned,
} from "@lavenderferry/fleet";
import { DocumentRunner } from "@lavenderferry/fleet";
import { PeerClients } from "@lavenderferry/protocol";
import type { Routing } from "@lavenderferry/relay";
import { RouteTable, routingFormat } from "@lavenderferry/relay";
import {
  largeRouting,
  NarrowFleet,
  routingOf,
} from "@lavenderferry/relay/fixtures";

/**
 * Measures what the transfer of a routing costs: bytes and the longest iteration
 * of the event loop by the number of routes, and bytes and times in a simulated
 * fleet whose links have 10 Mbit/s by the number of relays.
 */
const routeCounts = [10, 1_000, 10_000];
const relayCounts = [8, 69, 300];

/** The fixture keeps each relay's routing: 300 x 10,000 routes take some 4 GB. */
const maxRoutesInFleet = 700_000;

const rounds = 5;
const settleMs = 6_000;
const limitMs = 20_000;

const runner = new DocumentRunner(new PeerClients(), routingFormat);

function printFigures(figures: object): void {
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}

/** Returns a result with the longest iteration of the event loop until then. */
async function measure<Result>(run: () => Promise<Result>) {
  let longestMs = 0;
  let isOver = false;
  let last = performance.now();
  const startedAt = last;
  const tick = () => {
    const now = performance.now();
    longestMs = Math.max(longestMs, now - last);
    last = now;
    if (!isOver) {
      setImmediate(tick);
    }
  };
  setImmediate(tick);
  const result = await run();
  isOver = true;
  const ms = performance.now() - startedAt;
  longestMs = Math.max(longestMs, performance.now() - last);
  return { result, ms: round(ms), longestMs: round(longestMs) };
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}

async function encode(
  document: Versioned,
  base: EncodedDocument | null,
): Promise<{
  readonly encoded: EncodedDocument;
  readonly content: DocumentContent;
}> {
  const event = await new Promise<DocumentEvent>((resolve) => {
    runner.handlers.encode_document({
      kind: "encode_document",
      document,
      encoded: null,
      baseVersion: base?.version ?? 0,
      base,
      whole: null,
    }, resolve);
  });
  if (event.kind !== "document_encoded" || event.content === null) {
    throw new Error("The document was not encoded");
  }
  return { encoded: event.encoded, content: event.content };
}

async function decode(
  { encoded: { digest }, content }: Awaited<ReturnType<typeof encode>>,
  base: EncodedDocument | null,
): Promise<void> {
  const event = await new Promise<DocumentEvent>((resolve) => {
    runner.handlers.decode_document({
      kind: "decode_document",
      fetchId: 1,
      content: content.bytes,
      digest,
      base,
    }, resolve);
  });
  if (event.kind !== "document_decoded") {
    throw new Error("The document was not decoded");
  }
}

function routingWith(routeCount: number, change: Partial<Routing>): Routing {
  return routingOf({ ...largeRouting(routeCount), ...change });
}

/** Prints the figures of the round with the shortest of the longest iterations. */
async function measureRoutes(routes: number): Promise<void> {
  const first = routingWith(routes, { version: 1 });
  const second = routingWith(routes, {
    version: 2,
    services: [...first.services, {
      name: "new",
      connections: 10,
      engines: null,
    }],
  });
  for (let index = 0; index < rounds; index++) {
    const whole = await measure(() => encode(first, null));
    const decoded = await measure(() => decode(whole.result, null));
    const base = whole.result.encoded;
    const difference = await measure(() => encode(second, base));
    const applied = await measure(() => decode(difference.result, base));
    const table = await measure(() => Promise.resolve(new RouteTable(first)));
    printFigures({
      scenario: "routes",
      routes,
      round: index,
      jsonBytes: JSON.stringify(first).length,
      wholeBytes: whole.result.content.bytes.length,
      differenceBytes: difference.result.content.bytes.length,
      encodeMs: whole.ms,
      encodeLongestMs: whole.longestMs,
      decodeMs: decoded.ms,
      decodeLongestMs: decoded.longestMs,
      differenceMs: difference.ms,
      differenceLongestMs: difference.longestMs,
      applyMs: applied.ms,
      applyLongestMs: applied.longestMs,
      routeTableMs: table.ms,
    });
  }
}

/** Writes a large version and then a small one to the store of a fleet. */
function measureFleet(relayCount: number, routes: number): void {
  const fleet = new NarrowFleet({
    relayCount,
    megabitsPerSecond: 10,
    freshnessMs: 2_600,
    routing: routingOf(),
  });
  fleet.run(settleMs);
  const write = (change: Partial<Routing>) => {
    const at = fleet.now;
    const bytesBefore = fleet.documentBytes;
    const version = fleet.write(change);
    const isEverywhere = () =>
      fleet.timesOf(version).every((time) => time < Infinity);
    while (!isEverywhere() && fleet.now < at + limitMs) {
      fleet.run(50);
    }
    const bytes = fleet.documentBytes - bytesBefore;
    const lastMs = Math.max(...fleet.timesOf(version)) - at;
    return { lastMs, bytes, bytesPerRelay: Math.round(bytes / relayCount) };
  };
  const large = write(largeRouting(routes));
  fleet.run(1_000);
  const small = write({
    services: [
      ...routingOf().services,
      { name: "new", connections: 10, engines: null },
    ],
  });
  const suspicions = fleet.suspicions.length;
  const scenario = "fleet";
  printFigures({ scenario, relayCount, routes, large, small, suspicions });
}

for (const routes of routeCounts) {
  await measureRoutes(routes);
}
for (const relayCount of relayCounts) {
  for (const routes of routeCounts) {
    if (relayCount * routes <= maxRoutesInFleet) {
      measureFleet(relayCount, routes);
    }
  }
}
