import { spawn } from "node:child_process";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import t from "tap";
import { quickstartProgram } from "./mod.ts";

/** Patterns of lines in the output of the tour, in order. */
const linePatterns = [
  /^Starting 3 entries, 2 stewards, 4 engines, 2 services and$/m,
  /^== A caller asks which address to use and gets http:\/\/[\d.:]+$/m,
  /^== A Summary, token by token$/m,
  /^(\w+-\w+ ?){24}$/m,
  /^24 tokens, complete$/m,
  /^First answer: status 201$/m,
  /^Second answer: status 201, replayed: true$/m,
  /^Slot status: {"slot":"monday-0900","taken":1,"by":"anna",.*}$/m,
  /^Runs at the services: 1$/m,
  /│ changed │ split +│ shared │ parts\.kowalczyk │ 400000 +│ 500000 │/,
  /^Version 2 takes effect at \d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$/m,
  /│ kowalczyk │ booking │ call +│ 1\.300000 +│/,
  /│ torutoode │ booking │ call +│ 1\.700000 +│/,
  /^\$ lavenderferry explain [\w-]+$/m,
  /│ finish /,
  /^== Next steps$/m,
];

async function run(args: readonly string[]) {
  const program = fileURLToPath(quickstartProgram);
  const child = spawn(process.execPath, [program, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, UV_USE_IO_URING: "0" },
  });
  const [output, errors, code] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    new Promise((resolve) => child.once("exit", resolve)),
  ]);
  return { output, errors, code };
}

t.test("the tour shows every part and exits", async (t) => {
  const { output, errors, code } = await run(["--once"]);
  t.equal(errors, "");
  t.equal(code, 0);
  let rest = output;
  for (const pattern of linePatterns) {
    const found = pattern.exec(rest);
    t.ok(found, `${pattern}`);
    rest = rest.slice((found?.index ?? 0) + (found?.[0].length ?? 0));
  }
});

t.test("an unknown option is rejected", async (t) => {
  const { errors, code } = await run(["--twice"]);
  t.equal(errors, 'quickstart: Unknown option "--twice"\n');
  t.equal(code, 2);
});
