import t from "tap";
import { CacheFeed } from "./cache_feed.ts";

function event(sequence: number) {
  return { sequence, stored: [`d-${sequence}`], dropped: [] };
}

t.test("consecutive events are reported without a gap", (t) => {
  const feed = new CacheFeed();
  const changes = feed.receive({ events: [event(1), event(2)] });
  t.strictSame(changes.map(({ gap }) => gap), [false, false]);
  t.equal(feed.lastSequence, 2);
  t.end();
});

t.test("missing events are reported as a gap", (t) => {
  const feed = new CacheFeed();
  feed.receive({ events: [event(1)] });
  const changes = feed.receive({ events: [event(4), event(5)] });
  t.strictSame(changes.map(({ gap }) => gap), [true, false]);
  t.end();
});

t.test("events that were received before are ignored", (t) => {
  const feed = new CacheFeed();
  feed.receive({ events: [event(1), event(2)] });
  t.strictSame(feed.receive({ events: [event(1), event(2)] }), []);
  t.end();
});

t.test("an answer that does not match the schema throws", (t) => {
  t.throws(() => new CacheFeed().receive({ events: [{ sequence: "1" }] }));
  t.end();
});
