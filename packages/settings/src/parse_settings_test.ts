import { join } from "node:path";
import t from "tap";
import { z } from "zod";
import { loadSettings } from "./load_settings.ts";
import { parseSettings } from "./parse_settings.ts";
import {
  baseUrlSchema,
  logsSchema,
  nameSchema,
  socketSchema,
} from "./schemas.ts";

const schema = z.strictObject({
  logs: logsSchema.optional(),
  vm: nameSchema,
  peers: socketSchema,
  platform: baseUrlSchema.optional(),
});

const valid = [
  `{ "vm": "a-1", "peers": { "ip": "127.0.0.1", "port": 0 } }`,
  `// comment\n{ "vm": "a", /* c */ "peers": { "ip": "::1", "port": 1 }, }`,
];

const invalid = [
  ``,
  `{ "vm": "a" `,
  `{\n  "vm": "a",\n  "peers": { "ip": "localhost", "port": 0 }\n}`,
  `{\n  "vm": "a",\n  "peers": { "ip": "::1", "port": 0 },\n  "x": 1\n}`,
  `{\n  "vm": 7,\n  "peers": { "ip": "::1", "port": 70000 }\n}`,
  `{ "vm": "a", "peers": { "ip": "::1", "port": 0 },\n"platform": "http://db/" }`,
  `{ "vm": "a",\n"peers": { "ip": "::1", "port": 0 },\n"vm": "b" }`,
  `{ "vm": "a", "peers": { "ip": "::1",\n"port": 0,\n"port": 1 } }`,
  `{ "vm": "a", "peers": {\n"ip": "::1", "port": 0, "x": 1, "y": 2 } }`,
  `{\n"vm": "a",\n"peers": { "ip": "::1" } }`,
  `{ "peers": [] }`,
  `[]`,
  `{ "vm": "a", "peers": { "ip": "::1", "port": 0 },
"logs": { "enabled": "lavenderferry:entry steward", "format": "xml" } }`,
];

t.test("valid settings are parsed", (t) => {
  for (const text of valid) {
    t.matchSnapshot(parseSettings(text, schema, { path: "a.jsonc" }));
  }
  t.end();
});

t.test("errors of invalid settings name the path and line", (t) => {
  for (const text of invalid) {
    try {
      parseSettings(text, schema, { path: "a.jsonc" });
      t.fail(`accepted ${text}`);
    } catch (error) {
      t.matchSnapshot((error as Error).message);
    }
  }
  t.end();
});

t.test("the error names a file that cannot be read", (t) => {
  const missing = join(t.testdir(), "absent.jsonc");
  t.throws(() => loadSettings(missing, schema), {
    kind: "bad_request",
    message: `${missing}: cannot read the file: it does not exist`,
  });
  t.end();
});
