import { Random } from "@lavenderferry/runtime";
import type { Phase, Scenario, Stream } from "./scenario.ts";

/** One request of a trace. */
export interface Arrival {
  /** Milliseconds since the start of the load. */
  readonly atMs: number;
  readonly workClass: string;
  readonly workspace: string;
  readonly outputTokens: number;
  readonly prompt: string;
}

const charactersPerToken = 4;
const sharedPrefixCharacters = 1_024;
const minOutputTokens = 2;

/** Draws a trace: the same seed gives the same requests at the same times. */
export function drawTrace(
  scenario: Scenario,
  seed: number,
): readonly Arrival[] {
  const random = new Random(seed);
  const arrivals: Arrival[] = [];
  let startMs = 0;
  for (const phase of scenario.phases) {
    const end = startMs + phase.durationMs;
    for (const atMs of drawTimes(phase, scenario, { startMs, random })) {
      const number = arrivals.length;
      arrivals.push(drawArrival(scenario, phase, { atMs, number, random }));
    }
    startMs = end;
  }
  return arrivals;
}

/** Poisson arrivals whose rate switches between calm and burst. */
function drawTimes(
  phase: Phase,
  { capacity, burst }: Scenario,
  from: { readonly startMs: number; readonly random: Random },
): readonly number[] {
  const { startMs, random } = from;
  const mean = capacity * phase.load / 1_000;
  const calm = mean / (1 + burst.share * (burst.factor - 1));
  const times: number[] = [];
  let at = startMs;
  let bursting = false;
  let switchAt = startMs + exponential(random, burst.meanMs);
  const end = startMs + phase.durationMs;
  for (;;) {
    const rate = bursting ? calm * burst.factor : calm;
    const next = at + exponential(random, 1 / rate);
    if (next >= switchAt && switchAt < end) {
      at = switchAt;
      bursting = !bursting;
      const calmMs = burst.meanMs * (1 - burst.share) / burst.share;
      switchAt += exponential(random, bursting ? burst.meanMs : calmMs);
    } else if (next >= end) {
      return times;
    } else {
      times.push(next);
      at = next;
    }
  }
}

function drawArrival(
  scenario: Scenario,
  phase: Phase,
  draw: {
    readonly atMs: number;
    readonly number: number;
    readonly random: Random;
  },
): Arrival {
  const { atMs, number, random } = draw;
  const stream = pick(scenario.streams, random);
  const { median, sigma, most } = stream.output;
  const factor = phase.lengthFactor ?? 1;
  const drawn = median * factor * Math.exp(sigma * normal(random));
  const outputTokens = Math.round(
    Math.min(most, Math.max(minOutputTokens, drawn)),
  );
  const prompt = promptOf(stream, { number, outputTokens, random });
  const workspace = pickWorkspace(stream, random);
  return {
    atMs,
    workClass: stream.workClass,
    workspace,
    outputTokens,
    prompt,
  };
}

function promptOf(
  stream: Stream,
  about: {
    readonly number: number;
    readonly outputTokens: number;
    readonly random: Random;
  },
): string {
  const { number, outputTokens, random } = about;
  const head = stream.prefixes === undefined
    ? ""
    : `prefix ${random.below(stream.prefixes)} `.padEnd(
      sharedPrefixCharacters,
      "leads and pipes ",
    );
  const own = `${number} [out:${outputTokens}] `;
  return head + own.padEnd(stream.promptTokens * charactersPerToken, "pipe ");
}

function pick(streams: readonly Stream[], random: Random): Stream {
  const total = streams.reduce((sum, { share }) => sum + share, 0);
  let left = random.fraction() * total;
  for (const stream of streams) {
    left -= stream.share;
    if (left < 0) {
      return stream;
    }
  }
  const [first] = streams;
  if (first === undefined) {
    throw new RangeError("A scenario needs at least one stream");
  }
  return first;
}

/** A few large workspaces take half of the requests. */
function pickWorkspace(stream: Stream, random: Random): string {
  const large = random.fraction() < 0.5;
  const index = large ? random.below(2) : 2 + random.below(8);
  return `${stream.workClass}-${index}`;
}

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random.fraction()) * mean;
}

function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  return radius * Math.cos(2 * Math.PI * random.fraction());
}
