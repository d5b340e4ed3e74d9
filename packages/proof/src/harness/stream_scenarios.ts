import type { Test } from "tap";
import { healthyLink } from "@lavenderferry/standins";
import { checkHistory } from "../history/check_history.ts";
import type { HistoryRecord } from "../history/history_record.ts";
import { Caller } from "./caller.ts";
import { eventually } from "./eventually.ts";
import type { ReaderRequest } from "./reader.ts";
import { Reader } from "./reader.ts";
import { sampleStatement } from "./sample_statement.ts";
import { System } from "./system.ts";

const engines = ["engine-0", "engine-1"] as const;

/**
 * Scenarios of streams in one system of two entries and two engines. After each
 * of them the history of all is checked.
 */
export class StreamScenarios {
  readonly system = new System({
    entries: 2,
    stewards: 1,
    engines: 2,
    links: true,
    entrySettings: { stopMs: 1_000 },
  });
  readonly engines: readonly string[] = engines;
  /** Key of the caller that reads the streams. */
  readonly key = this.system.callerKey("clinic");
  readonly #records: HistoryRecord[] = [];
  readonly #test: Test;
  #requestCount = 0;

  /** Starts the system before the scenarios of a test and stops it after. */
  constructor(test: Test) {
    this.#test = test;
    test.teardown(() => this.system.stop());
    test.before(() => this.system.startWithConfiguration(sampleStatement));
  }

  /** Runs a scenario, then checks the history of all scenarios so far. */
  run(name: string, run: (t: Test) => Promise<void>): void {
    void this.#test.test(name, async (t) => {
      await run(t);
      this.setEngineLinkFaults({});
      const violations = checkHistory(this.#records);
      t.strictSame(violations, [], "the history has no violations");
    });
  }

  /** Starts to read a stream of 200 tokens, unless it is overridden. */
  startReader(overrides: Partial<ReaderRequest> = {}): {
    readonly reader: Reader;
    readonly end: ReturnType<Reader["read"]>;
  } {
    const { system, key } = this;
    const reader = new Reader({
      key,
      urls: () =>
        ["entry-0", "entry-1"].filter((name) => !system.program(name).exited)
          .map((name) => system.url(name)),
      record: (record) => this.#records.push(record),
    });
    const end = reader.read({
      name: `ask-${this.#requestCount++}`,
      class: "report",
      tokens: 200,
      stream: true,
      ...overrides,
    });
    return { reader, end };
  }

  /** Waits until a stopped entry no longer advertises itself. */
  async waitUntilDraining(entry: string): Promise<void> {
    const url = this.system.url(entry);
    await eventually(
      () => new Caller(this.key).fetchAddresses(url),
      (addresses) => !addresses.includes(url),
    );
  }

  /** Kills every engine and starts new ones under the same names. */
  async replaceEngines(): Promise<void> {
    const { system } = this;
    await Promise.all(engines.map((name) => system.program(name).kill()));
    await Promise.all(engines.map((name) => system.startEngine(name)));
  }

  /** Sets the faults of the links to all engines. */
  setEngineLinkFaults(faults: Partial<typeof healthyLink>): void {
    for (const name of engines) {
      const link = this.system.links.get(name);
      if (link !== undefined) {
        link.faults = { ...healthyLink, ...faults };
      }
    }
  }
}

/** Waits until the reader is in the middle of its stream. */
export async function waitUntilReading(reader: Reader): Promise<void> {
  await eventually(() => reader.tokens, (tokens) => tokens >= 20);
}
