// A model engine that fails part of its requests takes over a stream that has
// begun. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client, newId } from "../standins/client.js";
import { config } from "../standins/config.js";
import { Engine } from "../standins/engine.js";
import { Relay } from "../standins/relay.js";
import { runCase, trouble } from "../standins/run_case.js";
import { Store } from "../standins/store.js";
import { createRandom, sleep } from "../standins/util.js";

/** Engines, of which one at a time fails requests: a share of 0.143. */
const engineCount = 7;

/** The disruption `srv_grey`: its dose, length and the time between two. */
const greyShare = 0.4;
const greyMs = 6_500;
const greyPeriodMs = 8_000;

/** Planned work: one engine leaves at a time, its successor comes later. */
const drainPeriodMs = 3_300;
const leaveMs = 2_000;
const successorMs = 4_000;

const streamsPerRelay = 14;
const playMs = 80_000;

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
  for (const id of ["d1", "d2"]) {
    await addEngine(id, { service: "desk", models: null, slots: 6 });
  }
  const relays = [
    new Relay("front-a-1", { store: store.address }),
    new Relay("front-a-2", { store: store.address }),
  ];
  await Promise.all(relays.map((relay) => relay.start()));
  record.add("relays are ready");
  await sleep(3_000);

  const startedAt = performance.now();
  const isOver = () =>
    performance.now() - startedAt > playMs ||
    relays.some(({ exits }) => exits.length > 0);
  const answers = [];
  const runClient = async (relay) => {
    await sleep(random() * 3_000);
    while (!isOver()) {
      const client = new Client(relay.front);
      for (let count = 0; count < 3 && !isOver(); count++) {
        const look = await client.send({
          method: "GET",
          path: `/look/${count}`,
          deadlineMs: 3_000,
        });
        look.relay = relay;
        answers.push(look);
        const write = await client.send({
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
        write.relay = relay;
        answers.push(write);
        if (write.error !== null) {
          break;
        }
        if (write.status !== 200) {
          await sleep(400);
        }
      }
      client.close();
    }
  };
  for (const relay of relays) {
    for (let number = 0; number < streamsPerRelay; number++) {
      void runClient(relay);
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
    const [{ at, code, signal }] = relay.exits;
    record.add(
      `${relay.name} ended by itself at ${record.secondsOf(at)}, ` +
        `code ${code}, signal ${signal}`,
    );
    record.add(relay.stderr.split("\n")[0]);
  }
  // Requests from kept channels that were passed on to sound engines, and whose
  // channels the relay closed as it ended.
  const lost = answers.filter((answer) =>
    answer.kept && !answer.complete &&
    answer.relay.exits.some(({ at }) =>
      answer.endedAt >= at - 300 && answer.endedAt <= at + 500
    ) &&
    engines.some(({ arrivals, isGrey, state }) =>
      isGrey !== true && state === "ready" &&
      arrivals.some(({ id, outcome }) => id === answer.id && outcome === "run")
    )
  );
  for (const { id, text, error } of lost) {
    const events = text.split("\n\n").length - 1;
    record.add(`${id} was lost after ${events} events: ${error}`);
  }
  if (ended.length === 0 && complete < 20) {
    throw new Error("Too few answers to judge");
  }
  return lost.length > 3
    ? `LOST: ${ended.map(({ name }) => name).join()} ended by itself, and ` +
      `${lost.length} requests of kept channels at sound engines were lost`
    : null;
});
