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

// Rows do not count down, so that an upstream that became cold again looked like
// one whose row was renewed.
t.test("peers learn that an upstream is cold again before it is warm", (t) => {
  const relays = [0, 1, 2].map(() => new ListRelay(new Marks(), 2_600));
  const [reader, middle] = relays as [ListRelay, ListRelay];
  for (const relay of relays) {
    relay.read({ vms: [engineOf(1, { coldMs: 20_000 })], version: 1 }, 0);
  }
  const toMiddle = new Link("middle", "");
  const toLast = new Link("last", "");
  const fromReader = new Link("reader", "");
  [toMiddle, toLast].forEach((link) => link.listVersion = 1);
  const pass = (version: number, coldMs: number, monotonic: number) => {
    const now = { monotonic, wall: monotonic };
    reader.read({ vms: [engineOf(version, { coldMs })], version }, monotonic);
    const news = reader.newsFor(toMiddle, now);
    middle.apply(news as never, fromReader, { at: now, sentAt: -Infinity });
    toMiddle.listVersion = version;
    const passed = middle.newsFor(toLast, now)?.changes?.length ?? 0;
    toLast.listVersion = version;
    return passed;
  };
  t.equal(pass(2, 15_500, 5_000), 0, "a renewed row, read with some delay");
  t.equal(pass(3, 15_000, 10_000), 1, "it is cold again");
  t.equal(pass(4, 9_900, 15_000), 0, "a renewed row");
  t.end();
});
