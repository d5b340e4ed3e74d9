import t from "tap";
import { PrefillRate } from "./prefill_rate.ts";

// Engines were taken to process prompts many times faster than they do under load,
// so that a queue of prompts did not count when an engine was chosen.
t.test("the rate follows the observed times to the first token", (t) => {
  const rate = new PrefillRate();
  t.equal(rate.msFor(1_000), 100);
  for (let index = 0; index < 300; index++) {
    rate.observe(3_000, 600);
  }
  const learned = rate.msFor(1_000);
  t.ok(learned > 190 && learned < 210, `${learned} ms`);
  t.end();
});
