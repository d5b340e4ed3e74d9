import fc from "fast-check";
import t from "tap";
import { EventSplitter } from "./event_splitter.ts";

t.test("only complete events are returned, whatever the chunks", (t) => {
  const stream = "id: 1\ndata: a\n\nid: 2\nversions: 3\ndata: b\n\n";
  fc.assert(
    fc.property(fc.array(fc.nat({ max: stream.length })), (cuts) => {
      const boundaries = [...new Set([0, ...cuts, stream.length])]
        .sort((a, b) => a - b);
      const splitter = new EventSplitter();
      let returned = "";
      let count = 0;
      let last: string | null = null;
      for (let index = 0; index + 1 < boundaries.length; index++) {
        const chunk = stream.slice(boundaries[index], boundaries[index + 1]);
        const batch = splitter.push(Buffer.from(chunk));
        returned += batch?.bytes.toString() ?? "";
        count += batch?.count ?? 0;
        last = batch?.lastEventId ?? last;
        t.ok(returned === "" || returned.endsWith("\n\n"));
      }
      return returned === stream && count === 2 && last === "2";
    }),
  );
  t.end();
});

t.test("an incomplete event is buffered", (t) => {
  const splitter = new EventSplitter();
  const batch = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  t.equal(batch?.bytes.toString(), "id: 1\ndata: a\n\n");
  t.equal(batch?.lastEventId, "1");
  t.equal(splitter.partialEvent.toString(), "id: 2\nda");
  t.end();
});

// Each chunk copied all of the event so far, which kept the process busy.
t.test("an event in tiny chunks is kept in one block", (t) => {
  const splitter = new EventSplitter();
  const chunk = Buffer.from("x");
  for (let count = 0; count < 400_000; count++) {
    splitter.push(chunk);
  }
  t.equal(splitter.partialEvent.length, 400_000);
  t.equal(splitter.capacity, 2 ** 19);
  t.end();
});
