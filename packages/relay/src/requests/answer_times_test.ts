import t from "tap";
import { AnswerTimes } from "./answer_times.ts";

function createTimes(count: number, change = {}): AnswerTimes {
  const times = new AnswerTimes();
  for (let index = 0; index < count; index++) {
    times.add({ firstEventMs: 100, streamMs: 400, tokens: 40, ...change });
  }
  return times;
}

t.test("nothing is promised after a few answers", (t) => {
  t.equal(createTimes(7).boundMs(10), Infinity);
  t.end();
});

t.test("the bound grows with the limit on the output", (t) => {
  const times = createTimes(8);
  t.equal(times.boundMs(0), 100);
  t.equal(times.boundMs(1_000), 10_100);
  t.end();
});

t.test("answers that are no streams have only a first event", (t) => {
  const times = createTimes(8, { streamMs: 0, tokens: 0 });
  t.equal(times.boundMs(0), 100);
  t.end();
});

t.test("the slowest of the latest answers sets the bound", (t) => {
  const times = createTimes(8);
  times.add({ firstEventMs: 900, streamMs: 800, tokens: 40 });
  t.equal(times.boundMs(100), 2_900);
  for (let index = 0; index < 64; index++) {
    times.add({ firstEventMs: 50, streamMs: 40, tokens: 40 });
  }
  t.equal(times.boundMs(100), 150);
  t.end();
});
