import t from "tap";
import { configureLogs, createLogger, createProgramLogger } from "./logger.ts";

/** Returns what a function writes to standard error. */
function capture(run: () => void): string {
  const written: string[] = [];
  const { write } = process.stderr;
  process.stderr.write = (chunk: string | Uint8Array) => {
    written.push(String(chunk));
    return true;
  };
  try {
    run();
  } finally {
    process.stderr.write = write;
  }
  return written.join("");
}

const fields = { version: 3, author: "anna", missing: undefined, none: null };

t.test("a text line has the prefix of its part", (t) => {
  const log = createLogger("entry");
  configureLogs("text", "lavenderferry:entry");
  const line = capture(() => log("Accepted a change", fields));
  t.match(
    line,
    /lavenderferry:entry.* Accepted a change version=3 author=anna none=null/,
  );
  t.notMatch(line, /missing/);
  t.end();
});

t.test("a program's lines have the prefixes of their parts", (t) => {
  const log = createProgramLogger("steward");
  configureLogs("text", "lavenderferry:steward:duties");
  const line = capture(() => {
    log("duties", "Duty holder changed", {});
    log("fleet", "Member state changed", {});
  });
  t.match(line, /lavenderferry:steward:duties.* Duty holder changed/);
  t.notMatch(line, /Member state changed/);
  t.end();
});

t.test("a JSON line carries the part, sentence and fields", (t) => {
  const log = createLogger("steward:duties");
  configureLogs("json", "lavenderferry:*");
  const line = capture(() => log("Accepted a change", fields));
  t.match(JSON.parse(line), {
    part: "steward:duties",
    sentence: "Accepted a change",
    version: 3,
    author: "anna",
    none: null,
  });
  t.equal(line.endsWith("\n"), true);
  t.end();
});

const patterns = [
  { enabled: "", entry: false, steward: false },
  { enabled: "*", entry: true, steward: true },
  { enabled: "lavenderferry:entry", entry: true, steward: false },
  {
    enabled: "lavenderferry:*,-lavenderferry:entry",
    entry: false,
    steward: true,
  },
];

for (const { enabled, ...expected } of patterns) {
  t.test(`the pattern "${enabled}" enables the matching prefixes`, (t) => {
    configureLogs("json", enabled);
    const entry = createLogger("entry");
    const steward = createLogger("steward");
    t.equal(capture(() => entry("Started")) !== "", expected.entry);
    t.equal(capture(() => steward("Started")) !== "", expected.steward);
    t.end();
  });
}
