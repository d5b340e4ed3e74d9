import t from "tap";
import type { EntryEvent } from "../events.ts";
import { RawCaller, startRawUpstream } from "../fixtures/raw_upstream.ts";

const usage = {
  prompt_tokens: 1,
  cached_tokens: 0,
  completion_tokens: 1,
  recomputed_tokens: 0,
  preemptions: 0,
};

/** The events of a complete generation. */
const events = [
  { choices: [{ text: "a", finish_reason: null }] },
  { choices: [{ text: "", finish_reason: "stop" }], usage },
].map((data, index) => `id: ${index}\ndata: ${JSON.stringify(data)}\n\n`)
  .join("") + "data: [DONE]\n\n";

function headOf(framing: string, close: boolean): string {
  const connection = close ? "connection: close\r\n" : "";
  return `HTTP/1.1 200 OK\r\n${connection}${framing}\r\n\r\n`;
}

function chunksOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`;
}

const callers = {
  "a generation": {
    text: events,
    run: (caller: RawCaller, address: string) => caller.generate(address, "r1"),
    whole: "engine_finished",
    failed: "engine_failed",
  },
  "a call with a key": {
    text: `{"slot":1}`,
    run: (caller: RawCaller, address: string) =>
      caller.call(address, { callId: "r1", key: "k" }),
    whole: "call_answered",
    failed: "call_failed",
  },
  "a read": {
    text: `{"slot":1}`,
    run: (caller: RawCaller, address: string) =>
      caller.call(address, { callId: "r1", key: null }),
    whole: "call_answered",
    failed: "call_failed",
  },
} as const;

for (const [name, { text, run, whole, failed }] of Object.entries(callers)) {
  for (const framing of ["length", "chunks"] as const) {
    for (const close of [false, true]) {
      const connection = close ? "on a closing connection" : "on a kept one";
      const title = `the answer to ${name} with ${framing} ${connection}`;
      // Callers got an empty or short answer that was framed as whole.
      t.test(`${title} fails if it is cut anywhere`, async (t) => {
        const caller = new RawCaller(t);
        const bytes = framing === "length"
          ? headOf(`content-length: ${text.length}`, close) + text
          : headOf("transfer-encoding: chunked", close) + chunksOf(text);
        const cutAt = (length: number, end: "close" | "reset") =>
          startRawUpstream(t, ({ socket }) => {
            socket.write(bytes.slice(0, length), () => {
              setTimeout(
                () => end === "close" ? socket.end() : socket.resetAndDestroy(),
                5,
              );
            });
          }).then((address) => run(caller, address));
        const kindOf = (list: readonly EntryEvent[]) => list.at(-1)?.kind;
        t.equal(kindOf(await cutAt(bytes.length, "close")), whole);
        // What follows the last mark of the events tells nothing more.
        const end = name === "a generation"
          ? bytes.indexOf("[DONE]") + "[DONE]".length
          : bytes.length - 1;
        for (const kind of ["close", "reset"] as const) {
          const lengths = Array.from({ length: end }, (_, length) => length);
          const results = await Promise.all(lengths.map(async (length) => ({
            length,
            kind: kindOf(await cutAt(length, kind)),
          })));
          t.strictSame(results.filter((result) => result.kind !== failed), []);
        }
      });
    }
  }
}
