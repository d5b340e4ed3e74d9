import t from "tap";
import type { EntryEvent } from "../events.ts";
import { RawCaller, startRawUpstream } from "../fixtures/raw_upstream.ts";

/** Texts in the place of a status; no final answer may have one of them. */
const invalidStatuses = [
  "000",
  "001",
  "099",
  "101",
  "102",
  "199",
  "600",
  "999",
  "7",
  "20",
  "2000",
  "abc",
  "",
];

const notStarted = JSON.stringify({
  error: { reason: "full" },
  not_started: true,
});

const phases = {
  "a call with a key": {
    headers: "",
    body: "{}",
    run: (caller: RawCaller, address: string) =>
      caller.call(address, { callId: "r1", key: "k" }),
  },
  "a call that states that it has not run": {
    headers: "not-run: true\r\n",
    body: "{}",
    run: (caller: RawCaller, address: string) =>
      caller.call(address, { callId: "r1", key: "k" }),
  },
  "a read": {
    headers: "",
    body: "{}",
    run: (caller: RawCaller, address: string) =>
      caller.call(address, { callId: "r1", key: null }),
  },
  "a generation that states that it has not started": {
    headers: "",
    body: notStarted,
    run: (caller: RawCaller, address: string) => caller.generate(address, "r1"),
  },
} as const;

/** Returns what an event says of the outcome. */
function outcomeOf(event: EntryEvent | undefined): string {
  if (event?.kind === "call_failed") {
    return `failed, not run: ${event.notRun}`;
  }
  return event?.kind === "engine_failed"
    ? `failed, ${event.failure.kind}`
    : event?.kind ?? "none";
}

// A service's answer with the status 600 or 999 was passed on to the caller, and
// recorded as the answer of its key.
for (const [name, { headers, body, run }] of Object.entries(phases)) {
  t.test(`${name} with an invalid status has an unknown outcome`, async (t) => {
    const caller = new RawCaller(t);
    const outcomes = await Promise.all(invalidStatuses.map(async (status) => {
      const address = await startRawUpstream(t, ({ socket }) => {
        socket.end(
          `HTTP/1.1 ${status} OK\r\n${headers}` +
            `content-length: ${body.length}\r\n\r\n${body}`,
        );
      });
      return `${status}: ${outcomeOf((await run(caller, address)).at(-1))}`;
    }));
    t.matchSnapshot(outcomes);
  });
}
