import t from "tap";
import { RawCaller, startRawUpstream } from "../fixtures/raw_upstream.ts";

const pauseMs = 20;

function wait(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, pauseMs));
}

function answerOf(status: string, headers: string, body: string): string {
  return `HTTP/1.1 ${status}\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
}

const json = "content-type: application/json\r\n";
const refusals = {
  engine: answerOf(
    "503 Full",
    json,
    JSON.stringify({ error: { reason: "full" }, not_started: true }),
  ),
  service: answerOf("503 Full", `${json}not-run: true\r\n`, "{}"),
};

const callers = {
  "a generation": {
    refusal: refusals.engine,
    run: (caller: RawCaller, address: string, id: string) =>
      caller.generate(address, id),
    refused: { kind: "engine_failed", failure: { kind: "not_started" } },
  },
  "a call with a key": {
    refusal: refusals.service,
    run: (caller: RawCaller, address: string, callId: string) =>
      caller.call(address, { callId, key: "k" }),
    refused: { kind: "call_answered", notRun: true },
  },
  "a read": {
    refusal: refusals.service,
    run: (caller: RawCaller, address: string, callId: string) =>
      caller.call(address, { callId, key: null }),
    refused: { kind: "call_answered", notRun: true },
  },
} as const;

for (const [name, { refusal, run, refused }] of Object.entries(callers)) {
  // It counted for the next request on the connection, which ran.
  t.test(`${name} that runs is not refused by an earlier refusal`, async (t) => {
    let runs = 0;
    const address = await startRawUpstream(
      t,
      ({ socket, number, numberOnSocket }) => {
        if (number === 1) {
          socket.write(refusal);
          return;
        }
        runs += 1;
        if (numberOnSocket > 1) {
          socket.write(refusal);
        }
        setTimeout(() => socket.destroy(), pauseMs);
      },
    );
    const caller = new RawCaller(t);
    t.match((await run(caller, address, "r1")).at(-1), refused);
    await wait();
    const last = (await run(caller, address, "r2")).at(-1);
    t.equal(runs, 1);
    t.notMatch(last, refused);
  });
}
