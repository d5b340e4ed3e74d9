import { readFileSync } from "node:fs";
import { entrySettingsSchema } from "@lavenderferry/entry";
import { daemonSchema } from "@lavenderferry/settings";
import { stewardSettingsSchema } from "@lavenderferry/steward";
import t from "tap";
import { cliSettingsSchema } from "./settings.ts";

const page = readFileSync(
  new URL("../../../docs/SETTINGS.md", import.meta.url),
  "utf8",
);

const shared = new Set([...Object.keys(daemonSchema.shape), "seed"]);

const sections = [
  { heading: "Every process", members: [...shared] },
  { heading: "Entry", members: ownMembers(entrySettingsSchema.shape) },
  { heading: "Steward", members: ownMembers(stewardSettingsSchema.shape) },
  { heading: "Command line", members: Object.keys(cliSettingsSchema.shape) },
];

function ownMembers(shape: object): readonly string[] {
  return Object.keys(shape).filter((name) => !shared.has(name));
}

for (const { heading, members } of sections) {
  t.test(`the settings page lists exactly the members of "${heading}"`, (t) => {
    const [, rest = ""] = page.split(`## ${heading}\n`);
    const section = rest.split("\n## ")[0] ?? "";
    const names = [...section.matchAll(/^\| `([A-Za-z]+)/gm)].map(([, name]) =>
      name
    );
    t.strictSame([...new Set(names)].sort(), [...members].sort());
    t.end();
  });
}
