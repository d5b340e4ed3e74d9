// An engine leaves that goes on with a request when its channel closes. The relay
// resumes its streams from their copies at other engines.
import { Engine, Runs, streamFault } from "../standins-3/engine.js";
import {
  call,
  generationHeaders,
  now,
  Record,
  sleep,
  System,
} from "../standins-3/system.js";

const hasTrouble = process.env.TROUBLE !== "0";
const streams = 6;
const maxTokens = 940;
const events = maxTokens / 4;
const overlapMs = 400;
const record = new Record();
const system = new System();
const runs = new Runs();
const peers = [];
await system.start(1);
const [relay] = system.relays;
for (const instance of ["i-1", "i-2", "i-3"]) {
  const engine = new Engine(system, { instance, runs, peers });
  engine.eventMs = 40;
  peers.push(engine);
  await engine.start();
}
if (!await system.ready()) {
  await system.end();
  process.exit(2);
}
const answers = Array.from({ length: streams }, (_, index) => {
  const id = `g${index}`;
  record.add("client sends stream", id);
  const headers = generationHeaders(id, { promptTokens: 1_000, maxTokens });
  return call(relay.front, "/write/1", { headers })
    .then((answer) => ({ id, ...answer }));
});
await sleep(3_000);
const [leaving] = peers.toSorted((a, b) => b.active.size - a.active.size);
leaving.drops = false;
if (hasTrouble) {
  record.add("engine", leaving.instance, "reports draining");
  leaving.drain();
}
const all = await Promise.all(answers);
await sleep(500);
let broken = 0;
for (const { id, status, complete, text } of all) {
  const [first, second] = runs.of(id);
  const overlap = second === undefined
    ? 0
    : (first.endedAt ?? now()) - second.startedAt;
  const isBroken = overlap > overlapMs;
  broken += isBroken ? 1 : 0;
  record.add(
    "stream",
    id,
    `status ${status}`,
    complete ? "complete" : "broken off",
    streamFault(text, id, events) || "whole",
    ...runs.of(id).map((run) =>
      `; ${run.instance} ${
        run.resumed ? "went on" : "began"
      } at ${run.startedAt}, ended at ${run.endedAt} (${run.how})`
    ),
    isBroken ? `; both worked for ${overlap} ms: TWICE BROKEN` : "",
  );
}
const stops = relay.decisions.filter((line) =>
  /"resume"|stop_silent|"move"/.test(line)
);
for (const line of stops) {
  record.add(line);
}
record.add("streams that ran at two engines at once:", broken);
await system.end();
record.write("record.txt");
process.exit(broken > 0 ? 1 : 0);
