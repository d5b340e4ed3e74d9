import fc from "fast-check";
import t from "tap";
import {
  bucketOf,
  conditionalSurvival,
  lengthBuckets,
  meanRemaining,
  minLengthOf,
  mixTail,
  priorTail,
  survival,
} from "./length_distribution.ts";

const lengths = fc.integer({ min: 1, max: 100_000 });

t.test("puts a length between the bounds of its bucket", (t) => {
  fc.assert(
    fc.property(lengths, (tokens) => {
      const bucket = bucketOf(tokens);
      return minLengthOf(bucket) <= tokens + 1e-9 &&
        tokens < minLengthOf(bucket + 1);
    }),
    { seed: 1 },
  );
  t.end();
});

t.test("survival does not increase with the length", (t) => {
  const counted = fc.array(lengths, { maxLength: 50 });
  fc.assert(
    fc.property(counted, lengths, lengths, (seen, a, b) => {
      const counts = new Float32Array(lengthBuckets);
      seen.forEach((length) => {
        counts[bucketOf(length)] = (counts[bucketOf(length)] ?? 0) + 1;
      });
      const tail = mixTail(counts, priorTail, 2);
      const [less, more] = [Math.min(a, b), Math.max(a, b)];
      return survival(tail, less) + 1e-12 >= survival(tail, more);
    }),
    { seed: 2 },
  );
  t.end();
});

t.test("expects more tokens after a long output", (t) => {
  const counts = new Float32Array(lengthBuckets);
  counts[bucketOf(8)] = 70;
  counts[bucketOf(500)] = 30;
  const tail = mixTail(counts, priorTail, 1);
  t.ok(conditionalSurvival(tail, 0, 100) < 0.4);
  t.ok(conditionalSurvival(tail, 50, 100) > 0.9);
  t.ok(meanRemaining(tail, 50, 4_096) > meanRemaining(tail, 0, 4_096));
  t.end();
});

t.test("expects no tokens beyond the caller's limit", (t) => {
  t.equal(meanRemaining(priorTail, 100, 100), 0);
  t.ok(meanRemaining(priorTail, 90, 100) <= 10);
  t.end();
});
