import t from "tap";
import { hashText } from "@lavenderferry/runtime";
import { rendezvous } from "./rendezvous.ts";

const engines = Array.from({ length: 8 }, (_, index) => ({
  id: `engine-${index}`,
  hash: hashText(`engine-${index}`),
}));
const keys = Array.from({ length: 400 }, (_, index) => `digest-${index}`);

t.test("only the keys of a removed engine move", (t) => {
  const left = engines.slice(1);
  for (const key of keys) {
    const before = rendezvous(engines, key);
    if (before?.id !== "engine-0") {
      t.equal(rendezvous(left, key)?.id, before?.id);
    }
  }
  t.end();
});

t.test("every engine gets keys", (t) => {
  const used = new Set(keys.map((key) => rendezvous(engines, key)?.id));
  t.equal(used.size, engines.length);
  t.end();
});

t.test("no engine, no choice", (t) => {
  t.equal(rendezvous([], "digest"), undefined);
  t.end();
});
