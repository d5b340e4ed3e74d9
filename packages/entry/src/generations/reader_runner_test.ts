import type { ServerResponse } from "node:http";
import t from "tap";
import type { EntryEvent } from "../events.ts";
import { ReaderRunner } from "./reader_runner.ts";

const secret = "stream-secret-of-the-reader-tests-000";
const stream = {
  requestId: "request",
  generationId: "generation",
  upstream: "engine-0",
  workspace: "clinic",
  workClass: "report",
  model: "base",
  entryAddress: "127.0.0.1:7000",
};

/** A response whose client does not read. */
class StalledResponse {
  headersSent = false;
  destroyed = false;
  writableLength = 0;

  writeHead(): void {
    this.headersSent = true;
  }

  write(text: string): void {
    this.writableLength += text.length;
  }

  end(text: string): void {
    this.write(text);
  }

  destroy(): void {
    this.destroyed = true;
  }
}

t.test("a stalled reader is disconnected at the buffer limit", (t) => {
  const readers = new ReaderRunner(secret);
  const response = new StalledResponse();
  const events: EntryEvent[] = [];
  readers.add("reader", response as unknown as ServerResponse);
  const tokens = [{ index: 0, text: "x".repeat(100_000) }];
  for (let round = 0; round < 100 && !response.destroyed; round++) {
    readers.handlers.send_tokens(
      { kind: "send_tokens", readerId: "reader", stream, tokens },
      (event) => events.push(event),
    );
  }
  t.equal(response.destroyed, true);
  t.ok(response.writableLength < 5_000_000);
  t.strictSame(events, [{ kind: "reader_too_slow", readerId: "reader" }]);
  t.equal(readers.remove("reader"), false, "its close is not reported again");
  t.end();
});

t.test("a moved reader receives addresses and no end marker", (t) => {
  const readers = new ReaderRunner(secret);
  const response = new StalledResponse();
  let written = "";
  response.end = (text) => {
    written = text;
  };
  readers.add("reader", response as unknown as ServerResponse);
  const addresses = ["http://127.0.0.1:1"];
  readers.handlers.move_reader(
    { kind: "move_reader", readerId: "reader", addresses },
    () => undefined,
  );
  t.equal(
    written,
    'event: moved\ndata: {"addresses":["http://127.0.0.1:1"]}\n\n',
  );
  t.end();
});
