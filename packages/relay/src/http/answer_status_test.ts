import t from "tap";
import type { AttemptOptions } from "../fixtures/upstream_socket.ts";
import { sendAttempt, startUpstream } from "../fixtures/upstream_socket.ts";

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
  "2x0",
  "abc",
  "-200",
  "",
];

const idHeaders = "id: r1\r\nseal: s\r\n";
const notRun = "not-run: 1\r\n";
const plainBody = "content-length: 2\r\n\r\nok";
const streamBody = "content-length: 14\r\n\r\nid: 2\ndata: a\n\n";

/** Where a status is read: what was sent, and what surrounds the status. */
const phases: Readonly<
  Record<
    string,
    {
      readonly options?: AttemptOptions;
      /** Sent before the answer. */
      readonly interim?: string;
      readonly rest: string;
    }
  >
> = {
  "a plain answer": { rest: idHeaders + plainBody },
  "an answer on a kept connection": {
    options: { method: "GET" },
    rest: idHeaders + plainBody,
  },
  "an answer that states that it has not run": {
    rest: idHeaders + notRun + plainBody,
  },
  "an unsigned answer": { rest: plainBody },
  "a stream": { options: { streaming: true }, rest: idHeaders + streamBody },
  "a resumed stream": {
    options: { streaming: true, resumes: true },
    rest: idHeaders + streamBody,
  },
  "a resumption that states that it has not run": {
    options: { streaming: true, resumes: true },
    rest: idHeaders + notRun + plainBody,
  },
  "an answer of a peer": {
    options: { isPeer: true },
    rest: idHeaders + plainBody,
  },
  "a failure of a peer": { options: { isPeer: true }, rest: plainBody },
  "an answer after an interim one": {
    interim: "HTTP/1.1 102 Processing\r\n\r\n",
    rest: idHeaders + plainBody,
  },
};

// A caller got an answer with the status 000, and a head that no engine in order
// sends was believed to say that the request had not run.
for (const [name, { options, interim = "", rest }] of Object.entries(phases)) {
  t.test(`${name} with an invalid status tells nothing`, async (t) => {
    const outcomes = await Promise.all(invalidStatuses.map(async (status) => {
      const address = await startUpstream(t, (socket) => {
        socket.end(`${interim}HTTP/1.1 ${status} OK\r\n${rest}`);
      });
      const events = await sendAttempt(t, address, options);
      return { status, events: events.map(({ kind }) => kind) };
    }));
    const expected = invalidStatuses.map((status) => ({
      status,
      events: ["attempt_failed"],
    }));
    t.strictSame(outcomes, expected);
  });
}

t.test("the lowest and highest final statuses are forwarded", async (t) => {
  for (const status of [200, 299, 599]) {
    const address = await startUpstream(t, (socket) => {
      socket.end(`HTTP/1.1 ${status} OK\r\n${idHeaders}${plainBody}`);
    });
    const events = await sendAttempt(t, address);
    t.match(events, [{ kind: "answer_received", answer: { status } }]);
  }
});
