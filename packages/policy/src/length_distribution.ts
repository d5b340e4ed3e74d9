const bucketsPerOctave = 4;
const octaves = 17;

/** Number of buckets in a distribution of output lengths. */
export const lengthBuckets = octaves * bucketsPerOctave;

/** Median output length of the prior. */
const priorMedianTokens = 32;

/** Returns the bucket of an output length; the last one is unbounded. */
export function bucketOf(tokens: number): number {
  const bucket = Math.floor(bucketsPerOctave * Math.log2(Math.max(1, tokens)));
  return Math.min(lengthBuckets - 1, bucket);
}

/** Returns the lower bound of a bucket in tokens. */
export function minLengthOf(bucket: number): number {
  return 2 ** (bucket / bucketsPerOctave);
}

/** Share of outputs longer than the lower bound of each bucket. */
export type Tail = Float64Array;

/** Heavy-tailed distribution that is assumed without observations. */
export const priorTail: Tail = Float64Array.from(
  { length: lengthBuckets + 1 },
  (_, bucket) =>
    priorMedianTokens / (priorMedianTokens + minLengthOf(bucket) - 1),
);

/** Mixes counts with a general tail whose weight equals `weight` outputs. */
export function mixTail(
  counts: Float32Array,
  general: Tail,
  weight: number,
): Tail {
  const tail = new Float64Array(lengthBuckets + 1);
  let longerCount = 0;
  const total = counts.reduce((sum, count) => sum + count, 0) + weight;
  for (let bucket = lengthBuckets; bucket >= 0; bucket--) {
    longerCount += counts[bucket] ?? 0;
    tail[bucket] = (longerCount + weight * (general[bucket] ?? 0)) / total;
  }
  return tail;
}

/** Returns the share of outputs longer than `tokens`. */
export function survival(tail: Tail, tokens: number): number {
  const position = bucketsPerOctave * Math.log2(Math.max(1, tokens));
  const bucket = Math.floor(position);
  if (bucket >= lengthBuckets) {
    return tail[lengthBuckets] ?? 0;
  }
  const low = tail[bucket] ?? 0;
  const high = tail[bucket + 1] ?? 0;
  return low + (high - low) * (position - bucket);
}

/**
 * Returns the probability that a generation with `producedTokens` so far
 * produces more than `furtherTokens` after them.
 */
export function conditionalSurvival(
  tail: Tail,
  producedTokens: number,
  furtherTokens: number,
): number {
  const survivalNow = survival(tail, producedTokens);
  return survivalNow <= 0 ? 0 : Math.min(
    1,
    survival(tail, producedTokens + furtherTokens) / survivalNow,
  );
}

/** Returns the expected number of further tokens, limited by `maxTokens`. */
export function meanRemaining(
  tail: Tail,
  producedTokens: number,
  maxTokens: number,
): number {
  const survivalNow = survival(tail, producedTokens);
  if (survivalNow <= 0 || producedTokens >= maxTokens) {
    return 0;
  }
  let sum = 0;
  let previous = Math.max(1, producedTokens);
  for (
    let bucket = bucketOf(previous) + 1;
    bucket <= lengthBuckets && previous < maxTokens;
    bucket++
  ) {
    const next = Math.min(minLengthOf(bucket), maxTokens);
    const meanSurvival = survival(tail, (previous + next) / 2);
    sum += (next - previous) * meanSurvival;
    previous = next;
  }
  return sum / survivalNow;
}
