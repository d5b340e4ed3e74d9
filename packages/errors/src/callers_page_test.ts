import { readFileSync } from "node:fs";
import t from "tap";
import { errorKindNames, errorKinds } from "./error_kinds.ts";

const page = new URL("../../../docs/CALLERS.md", import.meta.url);

t.test("the callers' page lists every error kind and its answer", (t) => {
  const rows = errorKindNames.map((kind) => {
    const { status, title, notRun, retryable } = errorKinds[kind];
    const retry = retryable ? "yes" : "no";
    return `| \`${kind}\` | ${status} | ${title} | \`${notRun}\` | ${retry} |`;
  });
  const [, table = ""] = readFileSync(page, "utf8").split(
    "| kind | status | title | `notRun` | try again |\n|---|---|---|---|---|\n",
  );
  t.equal(table.split("\n\n")[0], rows.join("\n"));
  t.end();
});
