import { spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { entryProgram } from "@lavenderferry/entry";
import { stewardProgram } from "@lavenderferry/steward";
import t from "tap";
import { request } from "undici";
import { cliPrograms } from "./mod.ts";

const secret = "a-secret-that-only-this-test-knows-0";
const samples = fileURLToPath(
  new URL("../../../docs/samples/", import.meta.url),
);

const programs = [
  { name: "entry", program: entryProgram, listener: "callers" },
  { name: "steward", program: stewardProgram, listener: "operators" },
];

async function run(program: URL, args: readonly string[]): Promise<string> {
  const child = spawn(process.execPath, [fileURLToPath(program), ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, UV_USE_IO_URING: "0" },
  });
  const [output, errors, code] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    new Promise((resolve) => child.once("exit", resolve)),
  ]);
  return `${output}${errors}exit code ${code}`
    .replaceAll(process.version, "NODE")
    .replaceAll(`${process.platform}-${process.arch}`, "PLATFORM");
}

function createSettings(listener: string, port: number, peerPort = 0): object {
  return {
    vm: "vm-0",
    dataCentre: "krakow",
    region: "centre",
    platform: "http://127.0.0.1:1",
    peers: { ip: "127.0.0.1", port: peerPort },
    [listener]: { ip: "127.0.0.1", port },
    ...(listener === "callers"
      ? { callerSecret: secret, streamSecret: secret }
      : { operatorKeys: { anna: secret } }),
  };
}

for (const { name, program, listener } of programs) {
  t.test(`lavenderferry-${name} checks arguments and settings`, async (t) => {
    const file = join(t.testdir(), "settings.jsonc");
    const argumentLists = [
      ["--help"],
      ["--version"],
      [],
      ["--weights", "1"],
      ["now", "--settings", file],
      ["--settings", file],
    ];
    for (const args of argumentLists) {
      const output = await run(program, args);
      const line = args.join(" ").replaceAll(file, "FILE");
      t.matchSnapshot(output.replaceAll(file, "FILE"), line);
    }
    await writeFile(file, "{}");
    const output = await run(program, ["--settings", file]);
    t.matchSnapshot(output.replaceAll(file, "FILE"), "an empty document");
  });

  t.test(`lavenderferry-${name} reports a port that is in use`, async (t) => {
    const server = createServer();
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const file = join(t.testdir(), "settings.json");
    await writeFile(file, JSON.stringify(createSettings(listener, port)));
    const output = await run(program, ["--settings", file]);
    t.matchSnapshot(output.replaceAll(String(port), "PORT"));
    await writeFile(file, JSON.stringify(createSettings(listener, 0, port)));
    const peerOutput = await run(program, ["--settings", file]);
    t.matchSnapshot(peerOutput.replaceAll(String(port), "PORT"), "for peers");
  });
}

t.test("the sample settings pass the checker", async (t) => {
  const files = readdirSync(samples);
  t.strictSame(files.sort(), [
    "configuration.jsonc",
    "entry.jsonc",
    "operator.jsonc",
    "steward.jsonc",
  ]);
  for (const file of files) {
    const path = join(samples, file);
    const kind = file.replace(".jsonc", "");
    const output = await run(cliPrograms.check, [kind, path]);
    t.equal(output, `${path}: no errors found\nexit code 0`);
  }
});

async function readMetricNames(
  program: URL,
  settings: string,
): Promise<string[]> {
  const args = [fileURLToPath(program), "--settings", settings];
  const child = spawn(process.execPath, args, {
    stdio: ["ignore", "pipe", "ignore"],
    env: { ...process.env, UV_USE_IO_URING: "0" },
  });
  try {
    for await (const startupLine of createInterface({ input: child.stdout })) {
      const { address } = JSON.parse(startupLine) as { address: string };
      const response = await request(`http://${address}/metrics`);
      const lines = (await response.body.text()).split("\n");
      return lines.filter((line) => line.startsWith("# TYPE ")).map((line) =>
        line.split(" ")[2] ?? ""
      );
    }
  } finally {
    child.kill("SIGKILL");
  }
  throw new Error("The program did not start");
}

t.test("the metrics page lists exactly the served metrics", async (t) => {
  const page = readFileSync(join(samples, "../METRICS.md"), "utf8");
  const rows = page.matchAll(/^\| `(lavenderferry_\w+)`/gm);
  const documented = [...rows].map(([, name = ""]) => name);
  const served: string[] = [];
  for (const { program, listener } of programs) {
    const file = join(t.testdir(), "settings.json");
    await writeFile(file, JSON.stringify(createSettings(listener, 0)));
    served.push(...await readMetricNames(program, file));
  }
  t.strictSame(documented.sort(), served.sort());
});
