import { spawn } from "node:child_process";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import type { Statement } from "@lavenderferry/configuration";
import {
  diffStatements,
  emptyConfiguration,
} from "@lavenderferry/configuration";
import type { ErrorKind } from "@lavenderferry/errors";
import { toProblem } from "@lavenderferry/errors";
import PQueue from "p-queue";
import polka from "polka";
import t from "tap";
import { cliPrograms } from "./mod.ts";

const maxProcesses = 4;

const targets = {
  firstTokenMs: 1_000,
  betweenTokensMs: 55,
  stallMs: 2_000,
  preemptionsPerThousand: 100,
  completionMs: 120_000,
  percent: 95,
};

const { statement: empty } = emptyConfiguration;

const statement: Statement = {
  partners: { left: { title: "Left" }, right: { title: "Right" } },
  splits: { shared: { parts: { left: 400_000, right: 600_000 } } },
  classes: {
    summary: { title: "Sum", targets, split: "shared", delivery: "whole" },
  },
};

const changed: Statement = {
  ...statement,
  splits: { shared: { parts: { left: 500_000, right: 500_000 } } },
  classes: {
    ...statement.classes,
    report: { title: "Report", targets, split: "shared", delivery: "stream" },
  },
};

const versionDetails = { effectiveAt: 1_796_000_000_000, author: "anna" };

const changes = diffStatements(statement, changed);

const versions = [
  { version: 1, ...versionDetails, changes: diffStatements(empty, statement) },
  { version: 2, ...versionDetails, author: "jaan", changes },
];

const documents: Readonly<Record<string, object>> = {
  "/configuration": {
    version: 2,
    ...versionDetails,
    author: "jaan",
    ...changed,
  },
  "/costs": {
    costs: [{
      day: "2026-12-03",
      partner: "left",
      workClass: "summary",
      unit: "output",
      microUnits: "12400000",
    }],
  },
  "/status": {
    version: 2,
    inForce: { version: 1 },
    vms: [{
      id: "entry-0",
      role: "entry",
      dataCentre: "krakow",
      state: "live",
    }],
    members: [],
    duties: [
      { duty: "orders/models", holder: "steward-0", fence: 3 },
      { duty: "orders/spare", holder: "", fence: 2 },
    ],
  },
  "/explain/r-1": {
    decisions: [{
      at: versionDetails.effectiveAt,
      process: "entry-0",
      kind: "choose",
      reason: "least_load",
      figures: '{"engine":"engine-1"}',
    }],
  },
  "/explain/r-2": { decisions: [] },
};

/** Serves fixed documents as the operator interface of a steward does. */
function startSteward(): Server {
  const application = polka()
    .use((request, response, next) => {
      const { authorization } = request.headers;
      if (authorization === `Bearer ${operatorKey}`) {
        next();
      } else {
        refuse(response, "unauthenticated");
      }
    })
    .get("/operator/v1/history", (request, response) => {
      const after = Number(request.query["after"]);
      const found = versions.filter(({ version }) => version > after);
      answer(response, { versions: found });
    })
    .get("/operator/v1/diff", (request, response) => {
      const { from = "1", to = "2" } = request.query;
      if (Number(from) > 2) {
        refuse(response, "not_found");
      } else {
        answer(response, { from: Number(from), to: Number(to), changes });
      }
    })
    .put("/operator/v1/configuration", (request, response) => {
      request.resume();
      if (request.headers["if-match"] === '"2"') {
        answer(response, { version: 3, effectiveAt: "2026-12-03T10:00:00Z" });
      } else {
        refuse(response, "conflict");
      }
    })
    .post("/operator/v1/drain/:vm", (request, response) => {
      if (request.params["vm"] === "entry-0") {
        answer(response, { running: 3 });
      } else {
        refuse(response, "not_found");
      }
    })
    .get("/operator/v1/*", (request, response) => {
      const path = (request.url ?? "").replace("/operator/v1", "");
      const document = documents[path.replace(/\?.*/, "")];
      if (document === undefined) {
        response.writeHead(404).end("Not Found");
      } else {
        answer(response, document);
      }
    });
  return createServer((request: IncomingMessage, response) => {
    void application.handler(request as never, response as never);
  });
}

function answer(response: ServerResponse, body: object): void {
  response.end(JSON.stringify(body));
}

function refuse(response: ServerResponse, kind: ErrorKind): void {
  const problem = toProblem({ kind, detail: `Refused as ${kind}` });
  response.writeHead(problem.status).end(JSON.stringify(problem));
}

const operatorKey = "operator-key-of-the-command-line-test";
const callerSecret = "caller-secret-of-the-command-line-test";

const directory = t.testdir({
  "same.jsonc": JSON.stringify({ version: 2, ...changed }),
  "old.jsonc": JSON.stringify({ version: 1, ...statement }),
  "unversioned.jsonc": JSON.stringify(statement),
  "invalid.jsonc": `{
  "version": 2,
  "partners": {},
  "splits": { "alone": { "parts": { "left": 1000000 } } },
  "classes": {},
  "weights": { "left": 1 }
}`,
  "dangling.jsonc": `{
  "version": 2,
  "partners": {},
  "splits": { "alone": { "parts": { "left": 1000000 } } },
  "classes": {}
}`,
});

const steward = startSteward();
t.teardown(() => steward.close());
t.before(async () => {
  await new Promise<void>((resolve) => steward.listen(0, "127.0.0.1", resolve));
  const { port } = steward.address() as AddressInfo;
  await writeSettings("operator.jsonc", port, { callerSecret });
  await writeSettings("no_caller_secret.jsonc", port, {});
  await writeSettings("wrong_key.jsonc", port, {
    operatorKey: operatorKey.toUpperCase(),
  });
  await writeSettings("unreachable.jsonc", 1, {});
});

async function writeSettings(
  name: string,
  port: number,
  otherMembers: object,
): Promise<void> {
  const stewards = [`http://127.0.0.1:${port}`];
  const settings = { stewards, operatorKey, ...otherMembers };
  await writeFile(join(directory, name), JSON.stringify(settings));
}

async function run(program: URL, line: string): Promise<string> {
  const args = line.split(" ").filter((arg) => arg !== "").map((arg) =>
    arg.endsWith(".jsonc") ? join(directory, arg) : arg
  );
  const child = spawn(process.execPath, [fileURLToPath(program), ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, UV_USE_IO_URING: "0" },
  });
  const [output, errors, code] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    new Promise((resolve) => child.once("exit", resolve)),
  ]);
  const { version } = process;
  return `${output}${errors}exit code ${code}`
    .replaceAll(`${directory}/`, "")
    .replaceAll(version, "NODE")
    .replaceAll(`${process.platform}-${process.arch}`, "PLATFORM")
    .replace(/[ \t]+$/gm, "");
}

/** Runs a program once for each command line and returns the outputs. */
async function runAll(
  program: URL,
  lines: readonly string[],
  toCommandLine: (line: string) => string = (line) => line,
): Promise<readonly (readonly [string, string])[]> {
  const queue = new PQueue({ concurrency: maxProcesses });
  return await Promise.all(
    lines.map(async (line) => {
      const output = await queue.add(() => run(program, toCommandLine(line)));
      return [line, output] as const;
    }),
  );
}

const stewardLines = [
  "get",
  "get --json",
  "apply same.jsonc",
  "apply old.jsonc",
  "apply old.jsonc --json",
  "apply unversioned.jsonc",
  "apply unversioned.jsonc --if-version 2",
  "apply unversioned.jsonc --if-version two",
  "apply invalid.jsonc",
  "apply absent.jsonc",
  "apply",
  "diff same.jsonc",
  "diff old.jsonc",
  "diff old.jsonc --json",
  "diff --from 1 --to 2",
  "diff",
  "diff --from 7",
  "diff old.jsonc --from 1",
  "history",
  "status",
  "costs --from 2026-12-01 --to 2026-12-03",
  "costs --from yesterday",
  "explain r-1",
  "explain r-2",
  "explain r-3",
  "drain entry-0",
  "drain entry-9",
  "key clinic",
  "key Clinic",
  "get --frequency 5",
];

t.test("commands print a steward's results and errors", async (t) => {
  const outputs = await runAll(
    cliPrograms.lavenderferry,
    stewardLines,
    (line) => `${line} --settings operator.jsonc`,
  );
  for (const [line, output] of outputs) {
    t.matchSnapshot(output, `lavenderferry ${line}`);
  }
});

const standaloneLines = [
  "",
  "--help",
  "--version",
  "apply --help",
  "reticulate",
  "get",
  "get --settings absent.jsonc",
  "get --settings same.jsonc",
  "get --settings wrong_key.jsonc",
  "get --settings unreachable.jsonc",
  "key clinic --settings no_caller_secret.jsonc",
];

t.test("help, usage errors and settings errors are printed", async (t) => {
  const outputs = await runAll(cliPrograms.lavenderferry, standaloneLines);
  for (const [line, output] of outputs) {
    t.matchSnapshot(output, `lavenderferry ${line}`);
  }
});

const checkerLines = [
  "",
  "--help",
  "--version",
  "operator operator.jsonc",
  "operator same.jsonc",
  "entry operator.jsonc",
  "configuration same.jsonc",
  "configuration invalid.jsonc",
  "configuration dangling.jsonc",
  "configuration",
  "weights same.jsonc",
  "configuration same.jsonc old.jsonc",
  "configuration same.jsonc --force",
];

t.test("the settings checker reports whether files are valid", async (t) => {
  for (const [line, output] of await runAll(cliPrograms.check, checkerLines)) {
    t.matchSnapshot(output, `lavenderferry-check ${line}`);
  }
});
