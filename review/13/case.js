// An engine leaves, and the relay moves its streams. The relay freezes for 4 s
// right after it has asked the engine to stop one of them.
import http from "node:http";
import { Desk, Engine, Runs, streamFault } from "../standins-3/engine.js";
import {
  call,
  clientHeaders,
  generationHeaders,
  Record,
  sleep,
  System,
} from "../standins-3/system.js";

const hasTrouble = process.env.TROUBLE !== "0";
const trials = 3;
const streams = 15;
const maxTokens = 940;
const events = maxTokens / 4;
const freezeMs = 4_000;
const callers = 24;
const record = new Record();

async function runTrial(trial) {
  const system = new System();
  const runs = new Runs();
  const peers = [];
  await system.start(1);
  const [relay] = system.relays;
  let isFrozen = false;
  class Leaving extends Engine {
    async move(body, response) {
      const answer = super.move(body, response);
      record.add("engine", this.instance, "kv-move", JSON.stringify(body));
      if (body.last && !isFrozen) {
        isFrozen = true;
        if (hasTrouble) {
          record.add("relay stopped (SIGSTOP)");
          relay.signal("SIGSTOP");
          setTimeout(() => {
            record.add("relay continued (SIGCONT)");
            relay.signal("SIGCONT");
          }, freezeMs);
        }
      }
      await answer;
    }
  }
  for (const instance of ["i-1", "i-2", "i-3"]) {
    const engine = new Leaving(system, { instance, runs, peers });
    engine.unframed = true;
    engine.eventMs = 28;
    peers.push(engine);
    await engine.start();
  }
  for (const instance of ["d-1", "d-2"]) {
    const server = new Desk(system, { instance, service: "desk", runs });
    server.workMs = 2;
    await server.start();
  }
  if (!await system.ready()) {
    await system.end();
    return null;
  }
  const answers = Array.from({ length: streams }, (_, index) => {
    const id = `t${trial}g${index}`;
    record.add("client sends stream", id);
    const headers = generationHeaders(id, { promptTokens: 3_000, maxTokens });
    return call(relay.front, "/write/1", { headers })
      .then((answer) => ({ id, ...answer }));
  });
  let isOver = false;
  let looks = 0;
  const agent = new http.Agent({ keepAlive: true });
  const load = Array.from({ length: callers }, async (_, caller) => {
    while (!isOver) {
      const headers = clientHeaders(`t${trial}l${caller}-${looks++}`);
      await call(relay.front, "/look/1", { method: "GET", headers, agent });
    }
  });
  await sleep(1_500);
  const [leaving] = peers.toSorted((a, b) => b.active.size - a.active.size);
  record.add("engine", leaving.instance, "reports draining");
  leaving.drain();
  let broken = 0;
  for (
    const { id, status, complete, text, error } of await Promise.all(answers)
  ) {
    const fault = streamFault(text, id, events);
    const isBroken = status === 200 && complete && fault !== "";
    broken += isBroken ? 1 : 0;
    const ran = runs.of(id)
      .map((run) =>
        `${run.instance} ${run.resumed ? "resumed" : "began"} ${run.how}`
      )
      .join(", ");
    record.add(
      "stream",
      id,
      `status ${status}`,
      complete ? "ended as complete" : `broken off ${error}`,
      fault === "" ? "whole" : `with ${fault}`,
      `; run: ${ran}`,
      isBroken ? "ORDER BROKEN" : "",
    );
  }
  isOver = true;
  await Promise.all(load);
  agent.destroy();
  record.add("other requests answered:", looks, "; relay's log:");
  for (const line of relay.decisions.filter((line) => /"unknown"/.test(line))) {
    record.add(line);
  }
  await system.end();
  return broken;
}

let broken = 0;
let couldRun = true;
for (let trial = 1; trial <= trials && broken === 0 && couldRun; trial++) {
  const found = await runTrial(trial);
  couldRun = found !== null;
  broken += found ?? 0;
}
record.add("streams that ended as complete before their last piece:", broken);
record.write("record.txt");
process.exit(!couldRun ? 2 : broken > 0 ? 1 : 0);
