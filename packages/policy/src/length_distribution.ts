const bucketsPerOctave = 4;
const octaves = 17;

/** Buckets of a distribution of output lengths. */
export const lengthBuckets = octaves * bucketsPerOctave;

/** Length at which the tail of the prior has fallen to one half. */
const priorMedianTokens = 32;

/** Returns the bucket of an output length. */
export function bucketOf(tokens: number): number {
  const bucket = Math.floor(bucketsPerOctave * Math.log2(Math.max(1, tokens)));
  return Math.min(lengthBuckets - 1, bucket);
}

/** Returns the least output length of a bucket. */
export function leastOf(bucket: number): number {
  return 2 ** (bucket / bucketsPerOctave);
}

/** Share of outputs longer than each bucket's least length. */
export type Tail = Float64Array;

/** Heavy-tailed distribution that is assumed before anything was seen. */
export const priorTail: Tail = Float64Array.from(
  { length: lengthBuckets + 1 },
  (_, bucket) => priorMedianTokens / (priorMedianTokens + leastOf(bucket) - 1),
);

/** Mixes counts with a more general tail that weighs like `weight` outputs. */
export function mixTail(
  counts: Float32Array,
  general: Tail,
  weight: number,
): Tail {
  const tail = new Float64Array(lengthBuckets + 1);
  let above = 0;
  const total = counts.reduce((sum, each) => sum + each, 0) + weight;
  for (let bucket = lengthBuckets; bucket >= 0; bucket--) {
    above += counts[bucket] ?? 0;
    tail[bucket] = (above + weight * (general[bucket] ?? 0)) / total;
  }
  return tail;
}

/** Returns the share of outputs that are longer than a length. */
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
 * Returns the probability that a generation with `done` tokens out produces
 * more than `further` tokens beyond them.
 */
export function conditionalSurvival(
  tail: Tail,
  done: number,
  further: number,
): number {
  const reached = survival(tail, done);
  return reached <= 0
    ? 0
    : Math.min(1, survival(tail, done + further) / reached);
}

/** Returns the mean of the tokens that follow `done`, cut off at a maximum. */
export function meanRemaining(
  tail: Tail,
  done: number,
  maxTokens: number,
): number {
  const reached = survival(tail, done);
  if (reached <= 0 || done >= maxTokens) {
    return 0;
  }
  let sum = 0;
  let previous = Math.max(1, done);
  for (
    let bucket = bucketOf(previous) + 1;
    bucket <= lengthBuckets && previous < maxTokens;
    bucket++
  ) {
    const next = Math.min(leastOf(bucket), maxTokens);
    const middle = survival(tail, (previous + next) / 2);
    sum += (next - previous) * middle;
    previous = next;
  }
  return sum / reached;
}
