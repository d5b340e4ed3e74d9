// A model engine that fails part of its requests takes over a stream that has
// begun. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client, newId } from "../standins/client.js";
import { config } from "../standins/config.js";
import { Engine } from "../standins/engine.js";
import { Relay } from "../standins/relay.js";
import { runCase } from "../standins/run_case.js";
import { Store } from "../standins/store.js";
import { createRandom, sleep } from "../standins/util.js";

/** Whether the run includes the disruption. */
const trouble = process.env.TROUBLE !== "0";

/** Model engines, of which one at a time fails requests: a share of 0.125. */
const engineCount = 8;

/** The disruption `srv_grey`: its dose, length and the time between two. */
const greyShare = 0.4;
const greyMs = 6_500;
const greyPeriodMs = 8_000;

/** Planned work: one engine leaves at a time, its successor comes later. */
const drainPeriodMs = 3_300;
const leaveMs = 2_000;
const successorMs = 4_000;

/** A process that ends is started again after a short delay. */
const restartMs = 500;

/** The site's load, with a `burst` of 1.7 of its short requests. */
const streamsPerRelay = 20;
const deskRequestsPerSecond = 47;
const playMs = 95_000;

/** Requests of the rule that one machine may lose. */
const allowedLosses = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const random = createRandom(Number(process.env.SEED ?? 1));
  const store = new Store();
  await store.start();
  store.put("op", "config", config(1));
  const engines = [];
  const addEngine = async (id, options = {}) => {
    const engine = new Engine(store, { id, ...options });
    engine.arrivedById = new Map();
    await engine.start();
    engines.push(engine);
    return engine;
  };
  for (let number = 1; number <= engineCount; number++) {
    await addEngine(`m${number}`);
  }
  for (const id of ["d1", "d2", "d3"]) {
    const options = { service: "desk", models: null, slots: 6, workMs: 85 };
    await addEngine(id, options);
  }
  const relays = [1, 2].map((number) =>
    new Relay(`front-a-${number}`, { store: store.address, restartMs })
  );
  await Promise.all(relays.map((relay) => relay.start()));
  record.add("relays are ready");
  await sleep(3_000);

  const startedAt = performance.now();
  const lost = [];
  const lossesOf = (relay) =>
    lost.filter((answer) => answer.relay === relay).length;
  const findLossy = () =>
    relays.find((relay) => lossesOf(relay) > allowedLosses);
  const isOver = () =>
    performance.now() - startedAt > playMs || findLossy() !== undefined;
  const answers = [];
  const judge = (answer) => {
    answers.push(answer);
    const isAtSoundEngine = engines.some(({ arrivals, isGrey, state }) =>
      isGrey !== true && state === "ready" &&
      arrivals.some(({ id, outcome }) => id === answer.id && outcome === "run")
    );
    // The caller has got no byte of an answer and has not given up.
    const isLost = answer.kept && answer.status === null &&
      answer.error !== null && answer.error !== "time budget";
    if (isLost && isAtSoundEngine) {
      lost.push(answer);
      record.add(
        `${answer.id} on ${answer.path}, sent at ` +
          `${
            record.secondsOf(answer.sentAt)
          } over a kept channel and passed on ` +
          `to a sound engine, was closed without an answer by ` +
          `${answer.relay.name}: ${answer.error}`,
      );
    }
  };
  const look = async (client, relay) => {
    const answer = await client.send({ method: "GET", path: "/look/1" });
    judge(Object.assign(answer, { relay }));
    return answer;
  };
  /** Books and looks, each client over a channel that it keeps. */
  const runDeskClient = async (relay, periodMs) => {
    let client = new Client(relay.front);
    await sleep(random() * periodMs);
    while (!isOver()) {
      const started = performance.now();
      const answer = random() < 0.3 ? await look(client, relay) : Object.assign(
        await client.send({ path: "/book/1", body: `slot ${random()}` }),
        { relay },
      );
      if (answer.path === "/book/1") {
        judge(answer);
      }
      if (answer.error !== null) {
        client.close();
        client = new Client(relay.front);
        await sleep(1_000);
      }
      await sleep(Math.max(0, periodMs - performance.now() + started));
    }
    client.close();
  };
  const runStreamClient = async (relay) => {
    await sleep(random() * 3_000);
    while (!isOver()) {
      const client = new Client(relay.front);
      await look(client, relay);
      const answer = await client.send({
        id: newId("s"),
        path: "/write/x",
        deadlineMs: 39_000,
        headers: {
          "lavenderferry-model": "m",
          "lavenderferry-token-counts": "3000,880",
          "lavenderferry-prompt-prefix": `aa:79,${newId("p")}:2921`,
        },
        body: `prompt ${random()}`,
      });
      judge(Object.assign(answer, { relay }));
      client.close();
      await sleep(answer.status === 200 ? 0 : 1_000);
    }
  };
  const deskClients = 8;
  for (const relay of relays) {
    for (let number = 0; number < streamsPerRelay; number++) {
      void runStreamClient(relay);
    }
    for (let number = 0; number < deskClients; number++) {
      const total = relays.length * deskClients;
      void runDeskClient(relay, total * 1_000 / deskRequestsPerSecond);
    }
  }

  let nextNumber = engineCount + 1;
  const readyModels = () =>
    engines.filter(({ isModel, state, isGrey }) =>
      isModel && state === "ready" && isGrey !== true
    );
  const leave = async (engine) => {
    record.add(`${engine.id} reports that it is draining`);
    engine.drain();
    await sleep(leaveMs);
    record.add(`${engine.id} leaves with ${engine.runs.size} runs`);
    engine.leave();
    await sleep(successorMs - leaveMs);
    await addEngine(`m${nextNumber++}`);
  };
  const drainInTurn = async () => {
    await sleep(4_500);
    while (!isOver()) {
      const [oldest] = readyModels();
      if (oldest !== undefined && readyModels().length > 3) {
        void leave(oldest);
      }
      await sleep(drainPeriodMs);
    }
  };
  const greyInTurn = async () => {
    await sleep(4_000);
    while (trouble && !isOver()) {
      const ready = readyModels();
      const engine = ready[ready.length - 1];
      engine.isGrey = true;
      record.add(`${engine.id} fails ${greyShare} of its requests`);
      engine.onRun = () => random() < greyShare ? 500 : null;
      await sleep(greyMs);
      engine.onRun = () => null;
      engine.isGrey = false;
      record.add(`${engine.id} fails no more`);
      await sleep(greyPeriodMs - greyMs);
    }
  };
  void drainInTurn();
  void greyInTurn();
  while (!isOver()) {
    await sleep(50);
  }
  await sleep(600);

  for (const engine of engines) {
    for (const { id, at, from, outcome } of engine.arrivals) {
      if (from !== undefined || outcome.startsWith("failed")) {
        record.add(
          `at ${record.secondsOf(at)} ${id} reached ${engine.id}` +
            `${from === undefined ? "" : " to resume"}: ${outcome}`,
        );
      }
    }
  }
  const { length } = answers;
  const complete = answers.filter(({ complete }) => complete).length;
  record.add(`${length} answers ended, ${complete} of them complete`);
  const ended = relays.filter(({ exits }) => exits.length > 0);
  for (const relay of ended) {
    for (const { at, code, signal, error } of relay.exits) {
      record.add(
        `${relay.name} ended by itself at ${record.secondsOf(at)}, ` +
          `code ${code}, signal ${signal}: ${error}`,
      );
    }
  }
  const cut = answers.filter(({ status, complete }) =>
    status === 200 && !complete
  );
  record.add(`${cut.length} answers were cut after they had begun`);
  if (ended.length === 0 && complete < 20) {
    throw new Error("Too few answers to judge");
  }
  const count = ended.reduce((sum, { exits }) => sum + exits.length, 0);
  const lossy = findLossy();
  return lossy === undefined
    ? null
    : `LOST: processes ended by themselves ${count} times, and ` +
      `${lossesOf(lossy)} requests of kept channels at sound engines got no ` +
      `answer from ${lossy.name}`;
});
