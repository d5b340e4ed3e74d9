import t from "tap";
import { CacheFeed } from "./cache_feed.ts";

function event(sequence: number) {
  return { sequence, stored: [`d-${sequence}`], dropped: [] };
}

t.test("events in sequence are changes without a gap", (t) => {
  const feed = new CacheFeed();
  const changes = feed.take({ events: [event(1), event(2)] });
  t.strictSame(changes.map(({ gap }) => gap), [false, false]);
  t.equal(feed.after, 2);
  t.end();
});

t.test("missed events are a gap", (t) => {
  const feed = new CacheFeed();
  feed.take({ events: [event(1)] });
  const changes = feed.take({ events: [event(4), event(5)] });
  t.strictSame(changes.map(({ gap }) => gap), [true, false]);
  t.end();
});

t.test("events that were seen are not taken again", (t) => {
  const feed = new CacheFeed();
  feed.take({ events: [event(1), event(2)] });
  t.strictSame(feed.take({ events: [event(1), event(2)] }), []);
  t.end();
});

t.test("an answer of another shape is refused", (t) => {
  t.throws(() => new CacheFeed().take({ events: [{ sequence: "1" }] }));
  t.end();
});
