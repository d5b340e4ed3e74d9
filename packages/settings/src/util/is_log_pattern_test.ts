import t from "tap";
import { isLogPattern } from "./is_log_pattern.ts";

const valid = [
  "",
  "*",
  "lavenderferry:*",
  "lavenderferry:entry,lavenderferry:steward",
  "lavenderferry:*,-lavenderferry:entry",
];

const invalid = [
  ",",
  "lavenderferry:entry,",
  "lavenderferry:entry lavenderferry:steward",
  "/lavenderferry/",
  "--lavenderferry:entry",
  "lavenderferry:(entry)",
];

t.test("a log pattern is a list of prefixes or empty", (t) => {
  for (const text of valid) {
    t.equal(isLogPattern(text), true, text);
  }
  for (const text of invalid) {
    t.equal(isLogPattern(text), false, text);
  }
  t.end();
});
