// Plays the site's load while instances of a plain service spoil some answers.
import { Client, newId } from "./client.js";
import { config } from "./config.js";
import { Engine } from "./engine.js";
import { Relay } from "./relay.js";
import { Store } from "./store.js";
import { createRandom, sleep } from "./util.js";

/** Engines of the site; one of three is a share of 0.33. */
const modelCount = 8;
const deskIds = ["d1", "d2", "d3"];

/** The disruption `garble`: its dose, length and the time between two. */
const spoiltShare = 0.05;
const spoiltMs = 5_000;
const spoiltPeriodMs = 10_000;

/** A process that ends is started again after a short delay. */
const restartMs = 500;

/** The site's load on a quarter of its machines. */
const deskRequestsPerSecond = 27.6;
const deskClientsPerRelay = 8;
const streamsPerRelay = 20;
const playMs = 90_000;

/** Requests of the rule that one machine may lose. */
const allowedLosses = 3;

/**
 * Runs the site's load on two machines while an engine spoils some answers.
 * `spoil` gets an answer and the number of those that were spoilt before, and
 * returns a text for the record and what is sent in its place. Without
 * `trouble`, none is spoilt.
 */
export async function playSpoiltAnswers(record, { trouble, spoil }) {
  const random = createRandom(Number(process.env.SEED ?? 1));
  const store = new Store();
  await store.start();
  store.put("op", "config", config(1));
  const engines = [];
  const addEngine = async (id, options) => {
    const engine = new Engine(store, { id, ...options });
    await engine.start();
    engines.push(engine);
  };
  for (let number = 1; number <= modelCount; number++) {
    await addEngine(`m${number}`, {});
  }
  for (const id of deskIds) {
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
  const answers = [];
  const lost = [];
  const lossesOf = (relay) =>
    lost.filter((answer) => answer.relay === relay).length;
  const findLossy = () =>
    relays.find((relay) => lossesOf(relay) > allowedLosses);
  const isOver = () =>
    performance.now() - startedAt > playMs || findLossy() !== undefined;
  /** Ids of the answers that were spoilt. */
  const spoilt = new Set();

  const judge = (answer, relay) => {
    answers.push(answer);
    const engine = engines.find(({ arrivals }) =>
      arrivals.some(({ id, outcome }) => id === answer.id && outcome === "run")
    );
    // The caller has got no byte of an answer and has not given up.
    const isLost = answer.kept && answer.status === null &&
      answer.error !== null && answer.error !== "time budget";
    if (isLost && engine !== undefined && engine.isFaulty !== true) {
      lost.push(Object.assign(answer, { relay }));
      record.add(
        `${answer.id} on ${answer.path}, sent at ` +
          `${record.secondsOf(answer.sentAt)} over a kept channel and passed ` +
          `on to the sound engine ${engine.id}, was closed without an answer ` +
          `by ${relay.name}: ${answer.error}`,
      );
    }
  };
  /** Books and looks, over a channel that it keeps. */
  const runDeskClient = async (relay) => {
    const periodMs = 1_000 * relays.length * deskClientsPerRelay /
      deskRequestsPerSecond;
    let client = new Client(relay.front);
    await sleep(random() * periodMs);
    while (!isOver()) {
      const started = performance.now();
      const answer = await client.send(
        random() < 0.3
          ? { method: "GET", path: "/look/1" }
          : { path: "/book/1", body: `slot ${random()}` },
      );
      judge(answer, relay);
      if (answer.error !== null) {
        client.close();
        client = new Client(relay.front);
        await sleep(1_000);
      }
      await sleep(Math.max(0, periodMs - performance.now() + started));
    }
    client.close();
  };
  /** Asks for one text after another, over a channel that it keeps. */
  const runStreamClient = async (relay) => {
    let client = new Client(relay.front);
    await sleep(random() * 6_000);
    while (!isOver()) {
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
      judge(answer, relay);
      if (answer.status !== 200 || !answer.complete) {
        client.close();
        client = new Client(relay.front);
        await sleep(1_000);
      }
    }
    client.close();
  };
  for (const relay of relays) {
    for (let number = 0; number < deskClientsPerRelay; number++) {
      void runDeskClient(relay);
    }
    for (let number = 0; number < streamsPerRelay; number++) {
      void runStreamClient(relay);
    }
  }

  const spoilInTurn = async () => {
    const desks = engines.filter(({ isModel }) => !isModel);
    await sleep(5_000);
    for (let turn = 0; trouble && !isOver(); turn++) {
      const engine = desks[turn % desks.length];
      record.add(`${engine.id} spoils ${spoiltShare} of its answers`);
      engine.isFaulty = true;
      engine.onAnswer = (answer) => {
        if (random() >= spoiltShare) {
          return null;
        }
        const { what, replacement } = spoil(answer, spoilt.size);
        spoilt.add(answer.id);
        record.add(`${engine.id} spoils the answer to ${answer.id}: ${what}`);
        return replacement;
      };
      await sleep(spoiltMs);
      engine.onAnswer = () => null;
      record.add(`${engine.id} spoils no more`);
      // Requests of that time may end a little later.
      await sleep(1_000);
      engine.isFaulty = false;
      await sleep(spoiltPeriodMs - spoiltMs - 1_000);
    }
  };
  void spoilInTurn();
  while (!isOver()) {
    await sleep(50);
  }
  await sleep(600);

  const complete = answers.filter(({ complete }) => complete).length;
  const cut = answers.filter((answer) =>
    answer.status === 200 && !answer.complete
  );
  record.add(`${answers.length} answers ended, ${complete} of them complete`);
  record.add(`${spoilt.size} answers were spoilt`);
  record.add(`${cut.length} answers were cut after they had begun`);
  const exits = relays.flatMap((relay) =>
    relay.exits.map((exit) => ({ ...exit, name: relay.name }))
  );
  for (const { name, at, code, signal, error } of exits) {
    record.add(
      `${name} ended by itself at ${record.secondsOf(at)}, ` +
        `code ${code}, signal ${signal}: ${error}`,
    );
  }
  if (exits.length === 0 && complete < 100) {
    throw new Error("Too few answers to judge");
  }
  const lossy = findLossy();
  return lossy === undefined
    ? null
    : `LOST: processes ended by themselves ${exits.length} times after ` +
      `${spoilt.size} spoilt answers, and ${
        lossesOf(lossy)
      } requests of kept ` +
      `channels at sound engines got no answer from ${lossy.name}`;
}
