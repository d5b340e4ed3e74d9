import t from "tap";
import { hashText } from "@lavenderferry/runtime";
import { rendezvous } from "./rendezvous.ts";

const engines = Array.from({ length: 8 }, (_, index) => ({
  id: `engine-${index}`,
  hash: hashText(`engine-${index}`),
}));
const keys = Array.from({ length: 400 }, (_, index) => `digest-${index}`);

t.test("moves only the keys of a removed engine", (t) => {
  const remaining = engines.slice(1);
  for (const key of keys) {
    const before = rendezvous(engines, key);
    if (before?.id !== "engine-0") {
      t.equal(rendezvous(remaining, key)?.id, before?.id);
    }
  }
  t.end();
});

t.test("assigns keys to every engine", (t) => {
  const used = new Set(keys.map((key) => rendezvous(engines, key)?.id));
  t.equal(used.size, engines.length);
  t.end();
});

t.test("returns undefined without engines", (t) => {
  t.equal(rendezvous([], "digest"), undefined);
  t.end();
});
