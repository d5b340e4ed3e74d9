import fc from "fast-check";
import t from "tap";
import { ChunkBuffer, collectText } from "./chunk_buffer.ts";

t.test("the bytes of all chunks are collected in order", (t) => {
  const chunks = fc.array(fc.uint8Array({ maxLength: 40_000 }));
  fc.assert(fc.property(chunks, fc.boolean(), (chunks, clears) => {
    const buffer = new ChunkBuffer();
    if (clears) {
      buffer.push(Buffer.alloc(70_000, 1));
      buffer.clear();
    }
    for (const chunk of chunks) {
      buffer.push(chunk);
    }
    const whole = Buffer.concat(chunks);
    t.ok(buffer.capacity >= buffer.length);
    return buffer.length === whole.length && buffer.bytes.equals(whole) &&
      buffer.take().equals(whole) && buffer.length === 0;
  }));
  t.end();
});

// Bytes of one body appeared in another one that used the same block later.
t.test("bytes that were taken stay as they were", (t) => {
  const buffer = new ChunkBuffer();
  buffer.push(Buffer.alloc(20_000, "a"));
  const taken = buffer.take();
  const other = new ChunkBuffer();
  other.push(Buffer.alloc(20_000, "b"));
  t.ok(taken.equals(Buffer.alloc(20_000, "a")));
  t.end();
});

// Kept as they arrived, 800,000 chunks of ten bytes filled a heap of 96 MB.
t.test("tiny chunks take little more memory than their bytes", (t) => {
  const buffer = new ChunkBuffer();
  for (let count = 0; count < 800_000; count++) {
    buffer.push(Buffer.from("no answer\n"));
  }
  t.equal(buffer.length, 8_000_000);
  t.ok(buffer.capacity <= 2 * buffer.length);
  t.end();
});

t.test("a body that costs too much is not read to its end", async (t) => {
  let chunks = 0;
  async function* endless() {
    for (;;) {
      chunks += 1;
      yield await Promise.resolve(Buffer.from("x"));
    }
  }
  await t.rejects(collectText(endless(), 100_000), RangeError);
  t.ok(chunks < 200);
});
