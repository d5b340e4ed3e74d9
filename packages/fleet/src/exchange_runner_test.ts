import { PeerClients } from "@lavenderferry/protocol";
import t from "tap";
import type { ExchangeEvent } from "./exchange_event.ts";
import { ExchangeRunner } from "./exchange_runner.ts";

// An exception of an effect ended the process.
t.test("an exchange with a peer whose address cannot be used fails", async (t) => {
  const clients = new PeerClients();
  t.teardown(() => clients.close());
  const { handlers } = new ExchangeRunner(clients);
  for (const address of ["127.0.0.1:99999", "://", "\n", "unix:", "a:b:c:d"]) {
    const event = await new Promise<ExchangeEvent>((resolve) => {
      const effect = { kind: "send_exchange", peer: "p", address } as const;
      handlers.send_exchange({ ...effect, message: {} }, resolve);
    });
    t.match(event, { kind: "exchange_failed", peer: "p" }, address);
  }
});
