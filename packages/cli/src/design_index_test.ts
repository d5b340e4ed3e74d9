import { readdirSync, readFileSync } from "node:fs";
import t from "tap";

const directory = new URL("../../../docs/design/", import.meta.url);

t.test("the design index lists exactly the existing pages", (t) => {
  const index = readFileSync(new URL("README.md", directory), "utf8");
  const listedPages = [...index.matchAll(/\]\((\w+\.md)\)/g)].map(([, page]) =>
    page
  );
  const pages = readdirSync(directory).filter((page) => page !== "README.md");
  t.strictSame(listedPages.sort(), pages.sort());
  t.end();
});
