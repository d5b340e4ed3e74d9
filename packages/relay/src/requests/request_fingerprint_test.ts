import t from "tap";
import { chainDigests } from "@lavenderferry/policy";
import type { RequestContent } from "./request_fingerprint.ts";
import { digestContent, fingerprintOf } from "./request_fingerprint.ts";

const content: RequestContent = {
  method: "POST",
  host: "one.example",
  url: "/look/1?day=2",
  body: Buffer.from("slot 3"),
  prefix: [],
};

function fingerprint(change: Partial<RequestContent>, caller = "clinic") {
  return fingerprintOf(digestContent({ ...content, ...change }), caller);
}

t.test("equal requests of a caller have one fingerprint", (t) => {
  const body = Buffer.from("slot 3");
  t.equal(fingerprint({}), fingerprint({ body }));
  t.end();
});

t.test("requests that differ have different fingerprints", (t) => {
  const changes: readonly Partial<RequestContent>[] = [
    { method: "PUT" },
    { host: "two.example" },
    { url: "/look/1" },
    { url: "/look/2?day=2" },
    { body: Buffer.from("slot 4") },
    { body: Buffer.alloc(0) },
    { prefix: chainDigests(["p1:20"]) },
    { prefix: chainDigests(["p1:20", "p2:20"]) },
    { prefix: chainDigests(["p2:20"]) },
  ];
  const fingerprints = changes.map((change) => fingerprint(change));
  const others = [fingerprint({}), fingerprint({}, "another caller")];
  const all = new Set([...fingerprints, ...others]);
  t.equal(all.size, changes.length + 2);
  t.end();
});

t.test("a fingerprint has the same length whatever the body", (t) => {
  const body = Buffer.alloc(4_000_000, "a");
  t.equal(fingerprint({ body }).length, fingerprint({}).length);
  t.end();
});
