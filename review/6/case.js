// Three generations with long, well-formed prompt prefixes, inside the limits of
// the configuration, while ordinary requests of kept channels run.
import { runCase } from "../standins-2/case.js";
import {
  allowedLosses,
  OrdinaryClients,
  recordEnds,
} from "../standins-2/ordinary.js";
import {
  ModelEngine,
  PlainServer,
  requestText,
  send,
  startDeployment,
  wait,
} from "../standins-2/system.js";

/** Time that a server works on the ordinary requests. */
const workMs = 2_000;

/** Parts of the prompts' prefixes, and tokens of each part. */
const troubleParts = { count: 3_900, tokens: 1 };
const calmParts = { count: 4, tokens: 975 };

const generations = 3;

/** Bytes of a head that the configuration allows. */
const headerBytes = 16_384;

await runCase(import.meta.url, async ({ record, relays, trouble }) => {
  const desks = ["d1", "d2"].map((instance) => new PlainServer({ instance }));
  const engines = ["e1", "e2"].map((instance) => new ModelEngine({ instance }));
  const store = await startDeployment({ servers: [...desks, ...engines] });
  const relay = await relays.create({ name: "front-1", store: store.address });
  await relay.startReady();
  record.write(`the relay is ready, ${Math.round(relay.memoryMb("VmRSS"))} MB`);
  const clients = new OrdinaryClients({ record, relay, desks });
  await clients.begin(workMs);

  const { count, tokens } = trouble ? troubleParts : calmParts;
  const prefix = Array.from({ length: count }, () => `0:${tokens}`).join(",");
  for (let index = 0; index < generations; index++) {
    const text = requestText("/write/1", {
      id: `long-${index}`,
      method: "POST",
      body: "a prompt",
      deadlineMs: 39_000,
      headers: {
        "lavenderferry-model": "m",
        "lavenderferry-token-counts": `${count * tokens},40`,
        "lavenderferry-prompt-prefix": prefix,
      },
    });
    const headLength = text.indexOf("\r\n\r\n") + 4;
    record.write(
      `generation ${index}: head of ${headLength} bytes of ${headerBytes}`,
    );
    void send(relay.front, { text }).then(({ status, ended }) =>
      record.write(`generation ${index}: ${status} ${ended}`)
    );
  }

  const losses = await clients.countLosses();
  await wait(500);
  recordEnds(record, relay);
  return losses > allowedLosses || relay.ends.length > 0;
});
