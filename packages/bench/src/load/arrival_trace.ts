import { Random } from "@lavenderferry/runtime";
import type { ArrivalStream, Phase, Scenario } from "./scenario.ts";

/** One request of a trace and the time at which it is sent. */
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

/** Draws a trace. The same seed gives the same requests at the same times. */
export function drawTrace(
  scenario: Scenario,
  seed: number,
): readonly Arrival[] {
  const random = new Random(seed);
  const arrivals: Arrival[] = [];
  let startMs = 0;
  for (const phase of scenario.phases) {
    const endMs = startMs + phase.durationMs;
    for (const atMs of drawArrivalTimes(phase, scenario, { startMs, random })) {
      const requestNumber = arrivals.length;
      arrivals.push(
        drawRequest(scenario, phase, {
          atMs,
          requestNumber,
          random,
        }),
      );
    }
    startMs = endMs;
  }
  return arrivals;
}

/**
 * Draws Poisson arrivals whose rate alternates between calm and burst periods
 * of exponentially distributed lengths. Rates are per millisecond.
 */
function drawArrivalTimes(
  phase: Phase,
  { capacityPerSecond, burst }: Scenario,
  options: { readonly startMs: number; readonly random: Random },
): readonly number[] {
  const { startMs, random } = options;
  const meanRate = capacityPerSecond * phase.load / 1_000;
  const calmRate = meanRate / (1 + burst.share * (burst.rateFactor - 1));
  const arrivalTimesMs: number[] = [];
  let currentMs = startMs;
  let bursting = false;
  let switchAtMs = startMs + drawExponential(random, burst.meanBurstMs);
  const endMs = startMs + phase.durationMs;
  for (;;) {
    const currentRate = bursting ? calmRate * burst.rateFactor : calmRate;
    const nextArrivalMs = currentMs + drawExponential(random, 1 / currentRate);
    if (nextArrivalMs >= switchAtMs && switchAtMs < endMs) {
      currentMs = switchAtMs;
      bursting = !bursting;
      const calmMs = burst.meanBurstMs * (1 - burst.share) / burst.share;
      switchAtMs += drawExponential(
        random,
        bursting ? burst.meanBurstMs : calmMs,
      );
    } else if (nextArrivalMs >= endMs) {
      return arrivalTimesMs;
    } else {
      arrivalTimesMs.push(nextArrivalMs);
      currentMs = nextArrivalMs;
    }
  }
}

function drawRequest(
  scenario: Scenario,
  phase: Phase,
  options: {
    readonly atMs: number;
    readonly requestNumber: number;
    readonly random: Random;
  },
): Arrival {
  const { atMs, requestNumber, random } = options;
  const stream = pickStream(scenario.streams, random);
  const { medianTokens, sigma, maxTokens } = stream.output;
  const lengthFactor = phase.lengthFactor ?? 1;
  const drawnTokens = medianTokens * lengthFactor *
    Math.exp(sigma * drawNormal(random));
  const outputTokens = Math.round(
    Math.min(maxTokens, Math.max(minOutputTokens, drawnTokens)),
  );
  const prompt = createPrompt(stream, {
    requestNumber,
    outputTokens,
    random,
  });
  const workspace = pickWorkspace(stream, random);
  return {
    atMs,
    workClass: stream.workClass,
    workspace,
    outputTokens,
    prompt,
  };
}

function createPrompt(
  stream: ArrivalStream,
  options: {
    readonly requestNumber: number;
    readonly outputTokens: number;
    readonly random: Random;
  },
): string {
  const { requestNumber, outputTokens, random } = options;
  const sharedPrefix = stream.sharedPrefixCount === undefined
    ? ""
    : `prefix ${random.integerBelow(stream.sharedPrefixCount)} `.padEnd(
      sharedPrefixCharacters,
      "leads and pipes ",
    );
  const uniqueText = `${requestNumber} [out:${outputTokens}] `;
  return sharedPrefix +
    uniqueText.padEnd(stream.promptTokens * charactersPerToken, "pipe ");
}

function pickStream(
  streams: readonly ArrivalStream[],
  random: Random,
): ArrivalStream {
  const totalShare = streams.reduce((sum, { share }) => sum + share, 0);
  let remainingShare = random.fraction() * totalShare;
  for (const stream of streams) {
    remainingShare -= stream.share;
    if (remainingShare < 0) {
      return stream;
    }
  }
  const [first] = streams;
  if (first === undefined) {
    throw new RangeError("A scenario needs at least one stream");
  }
  return first;
}

/** Picks one of 10 workspaces; 2 large ones get half of the requests. */
function pickWorkspace(stream: ArrivalStream, random: Random): string {
  const isLarge = random.fraction() < 0.5;
  const index = isLarge ? random.integerBelow(2) : 2 + random.integerBelow(8);
  return `${stream.workClass}-${index}`;
}

function drawExponential(random: Random, mean: number): number {
  return -Math.log(1 - random.fraction()) * mean;
}

function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  return radius * Math.cos(2 * Math.PI * random.fraction());
}
