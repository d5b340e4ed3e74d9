import type { Vm } from "@lavenderferry/platform";
import t from "tap";
import { Link } from "./link.ts";
import { ListRelay } from "./list_relay.ts";
import { Marks } from "./marks.ts";

const at = { monotonic: 1_000, wall: 1_000 };

function engineOf(version: number, change: Partial<Vm>): Vm {
  return {
    id: "e1",
    role: "engine",
    dataCentre: "a",
    region: "",
    state: "live",
    address: "10.0.0.1:1",
    pool: "models",
    checksFence: false,
    version,
    ...change,
  };
}

// Relays that do not read the store went on sending to engines that were cold.
t.test("peers learn that an upstream is cold or warm, but not each renewal", (t) => {
  const relay = new ListRelay(new Marks(), 2_000);
  const link = new Link("peer", "");
  const changesAfterRead = (version: number, change: Partial<Vm>) => {
    relay.read({ vms: [engineOf(version, change)], version }, 1_000);
    const news = relay.newsFor(link, at);
    link.listVersion = version;
    return news?.changes?.length ?? 0;
  };
  changesAfterRead(1, { coldMs: 0 });
  t.equal(changesAfterRead(2, { coldMs: 0 }), 0);
  t.equal(changesAfterRead(3, { coldMs: 9_000 }), 1, "it is cold");
  t.equal(changesAfterRead(4, { coldMs: 8_000 }), 0);
  t.equal(changesAfterRead(5, {}), 0, "an older build does not say");
  t.equal(changesAfterRead(6, { coldMs: 9_000 }), 1, "it is cold again");
  t.equal(changesAfterRead(7, { coldMs: 0 }), 1, "it is warm");
  t.end();
});
