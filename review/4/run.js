// The open channels to a model engine go silent; later it leaves as planned.
// See claim.txt.
import { request } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client, newId } from "../standins/client.js";
import { config } from "../standins/config.js";
import { Engine } from "../standins/engine.js";
import { Relay } from "../standins/relay.js";
import { runCase } from "../standins/run_case.js";
import { Store } from "../standins/store.js";
import { sleep } from "../standins/util.js";

/** Whether the run includes the disruption. */
const trouble = process.env.TROUBLE !== "0";

const engineCount = 6;
const streamsPerRelay = 9;

/** Bound of the sheet: machines are in touch again after this time. */
const contactMs = 3_000;
const marginMs = 250;

/** Milliseconds of the rule within which the engine before has to stop. */
const stopMs = 400;

/** Asks an engine for its report over a new channel; returns the status. */
function askForReport({ address }) {
  return new Promise((resolve) => {
    const call = request(
      `http://${address}/report`,
      { agent: false },
      (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      },
    );
    call.on("error", (error) => resolve(error.code));
    call.setTimeout(1_000, () => call.destroy());
    call.end();
  });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const store = new Store();
  await store.start();
  store.put("op", "config", config(1));
  const engines = [];
  for (let number = 1; number <= engineCount; number++) {
    const engine = new Engine(store, { id: `m${number}`, proxied: true });
    await engine.start();
    engines.push(engine);
  }
  const relays = [
    new Relay("front-a-1", { store: store.address }),
    new Relay("front-a-2", { store: store.address }),
  ];
  await Promise.all(relays.map((relay) => relay.start()));
  await sleep(3_000);

  const answers = [];
  for (const relay of relays) {
    for (let number = 0; number < streamsPerRelay; number++) {
      const client = new Client(relay.front);
      void client.send({
        id: newId("s"),
        path: "/write/x",
        deadlineMs: 39_000,
        headers: {
          "lavenderferry-model": "m",
          "lavenderferry-token-counts": "3000,2200",
          "lavenderferry-prompt-prefix": `aa:79,${newId("p")}:2921`,
        },
        body: `prompt ${number}`,
      }).then((answer) => answers.push(answer));
      await sleep(20);
    }
  }
  await sleep(4_000);
  const first = engines.toSorted((a, b) => b.runs.size - a.runs.size)[0];
  const ids = [...first.runs.keys()];
  record.add(`${first.id} runs ${ids.length} streams`);
  if (ids.length === 0) {
    throw new Error("No engine runs a stream");
  }
  if (trouble) {
    const count = first.proxy.silence();
    record.add(`${count} open channels to ${first.id} go silent`);
  }
  await sleep(contactMs + marginMs);
  first.drain();
  record.add(`${first.id} reports that it is draining; new channels work`);

  const twice = [];
  const seen = new Set();
  const until = performance.now() + 3_000;
  while (performance.now() < until) {
    for (const engine of engines) {
      for (const { id, at, outcome } of engine.arrivals) {
        const isResumed = engine !== first && ids.includes(id) &&
          outcome === "run" && !seen.has(id);
        if (isResumed && performance.now() >= at + stopMs) {
          seen.add(id);
          const run = first.runs.get(id);
          const late = Math.round(performance.now() - at);
          record.add(
            `${id} went on at ${engine.id} at ${record.secondsOf(at)}; ` +
              `${late} ms later ${first.id} ` +
              (run === undefined
                ? "has stopped"
                : `still works on it, at event ${run.events}`),
          );
          if (run !== undefined) {
            twice.push(id);
          }
        }
      }
    }
    await sleep(20);
  }
  const status = await askForReport(first);
  record.add(`${first.id} answers ${status} over a new channel`);
  record.add(`${seen.size} streams went on elsewhere`);
  if (seen.size === 0) {
    throw new Error("No stream went on elsewhere");
  }
  return twice.length > 0
    ? `TWICE: ${twice.length} of ${seen.size} streams went on at another ` +
      `engine while the one before still worked on them`
    : null;
});
