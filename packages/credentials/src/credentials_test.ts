import t from "tap";
import { createCallerKey, verifyCallerKey } from "./caller_key.ts";
import { signStreamToken, verifyEventId } from "./stream_token.ts";

const secret = "0123456789abcdef0123456789abcdef";
const token = {
  requestId: "r-1",
  generationId: "g-1",
  upstream: "engine-1",
  workspace: "clinic",
  workClass: "summary",
  model: "m",
  entryAddress: "127.0.0.1:7000",
};

t.test("only a valid caller key yields its workspace", (t) => {
  const key = createCallerKey("clinic", secret);
  t.equal(verifyCallerKey(key, secret), "clinic");
  const invalid = [
    "",
    "lf1",
    key.replace("clinic", "other"),
    `${key}.x`,
    key.slice(0, -1),
    createCallerKey("clinic", secret.toUpperCase()),
  ];
  for (const invalidKey of invalid) {
    t.equal(verifyCallerKey(invalidKey, secret), null, invalidKey);
  }
  t.end();
});

t.test("only a valid event id yields its token and index", (t) => {
  const signed = signStreamToken(token, secret);
  t.strictSame(verifyEventId(`${signed}.17`, secret), { token, index: 17 });
  const foreign = signStreamToken({ ...token, workspace: "other" }, secret);
  const [text = ""] = foreign.split(".");
  const [, signature = ""] = signed.split(".");
  t.equal(verifyEventId(`${text}.${signature}.17`, secret), null);
  const invalid = ["", signed, `${signed}.-1`, `${signed}.1.2`, `x${signed}.1`];
  for (const eventId of invalid) {
    t.equal(verifyEventId(eventId, secret), null, eventId);
  }
  t.end();
});
