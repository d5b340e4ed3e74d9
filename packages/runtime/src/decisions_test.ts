import t from "tap";
import { Decisions } from "./decisions.ts";
import { Random } from "./random.ts";

t.test("the ring buffer keeps the latest decisions", (t) => {
  const decisions = new Decisions(3);
  for (let at = 0; at < 6; at++) {
    const subject = at % 2 === 0 ? "even" : "odd";
    const reason = "least_load";
    decisions.add({ kind: "choose", subject, reason, figures: {}, at });
  }
  t.strictSame(decisions.findBySubject("even").map(({ at }) => at), [4]);
  t.strictSame(decisions.findBySubject("odd").map(({ at }) => at), [3, 5]);
  t.strictSame(decisions.findBySubject("none"), []);
  t.end();
});

// Callers choose the ids of their requests, and the buffer kept them in full: 1,500
// ids of 60,000 characters took 72 MB.
t.test("the texts of a decision are bounded", (t) => {
  const decisions = new Decisions(10);
  const subject = "a".repeat(60_000);
  const host = "h".repeat(60_000);
  const decision = { kind: "refuse", reason: "not_found", at: 1 } as const;
  const figures = { version: 7, host, path: "/short" };
  const added = decisions.add({ ...decision, subject, figures });
  t.matchSnapshot({
    subject: added.subject.length,
    host: String(added.figures["host"]).length,
    version: added.figures["version"],
    path: added.figures["path"],
  });
  t.strictSame(decisions.findBySubject(subject), [added]);
  t.strictSame(decisions.findBySubject(`${subject}b`), []);
  const short = decisions.add({ ...decision, subject: "r1", figures: {} });
  t.strictSame(decisions.findBySubject("r1"), [short]);
  t.end();
});

t.test("one seed gives the same numbers within their bounds", (t) => {
  const one = new Random(7);
  const two = new Random(7);
  const draw = (random: Random) => ({
    fraction: random.fraction(),
    index: random.integerBelow(5),
    wait: random.jitter(100, 0.5),
  });
  const draws = Array.from({ length: 1_000 }, () => draw(one));
  t.strictSame(draws, Array.from({ length: 1_000 }, () => draw(two)));
  const outside = draws.filter(({ fraction, index, wait }) =>
    fraction < 0 || fraction >= 1 || ![0, 1, 2, 3, 4].includes(index) ||
    wait < 50 || wait > 150
  );
  t.strictSame(outside, []);
  t.end();
});
