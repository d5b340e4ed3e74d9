import type { Random } from "@lavenderferry/runtime";
import { request } from "undici";
import { Caller } from "../harness/caller.ts";
import { Reader } from "../harness/reader.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import type { System } from "../harness/system.ts";
import type { HistoryRecord } from "../history/history_record.ts";

const callTimeoutMs = 20_000;
const maxAttempts = 3;
const observeMs = 250;
const operatorMs = 400;
const bookingMs = 60;
const refusedMs = 100;

/** Callers, operators and an observer that work until they are stopped. */
export class Workload {
  readonly records: HistoryRecord[] = [];
  /** Generations by outcome. */
  readonly outcomes = new Map<string, number>();
  reconnects = 0;
  configurations = 0;
  conflicts = 0;
  readonly #system: System;
  readonly #random: Random;
  #number = 0;
  #running = true;

  constructor(system: System, random: Random) {
    this.#system = system;
    this.#random = random;
  }

  /** Runs every loop; resolves once all have ended after `stop`. */
  async run(
    sizes: { readonly readers: number; readonly bookers: number },
  ): Promise<void> {
    await Promise.all([
      ...this.#loops(sizes.readers, () => this.#readOnce()),
      ...this.#loops(sizes.bookers, () => this.#bookOnce()),
      ...this.#loops(2, (index) => this.#operateOnce(index)),
      ...this.#loops(1, () => this.#observeOnce()),
    ]);
  }

  /** Lets the running requests end and starts no new ones. */
  stop(): void {
    this.#running = false;
  }

  /** Adds what the services ran. */
  async collectRuns(services: readonly string[]): Promise<void> {
    for (const service of services) {
      const response = await request(`${this.#system.url(service)}/runs`);
      const { runs } = await response.body.json() as {
        runs: { slot: string }[];
      };
      for (const { slot: key } of runs) {
        this.records.push({ kind: "call_run", at: 0, key, service });
      }
    }
  }

  #loops(
    count: number,
    once: (index: number) => Promise<void>,
  ): readonly Promise<void>[] {
    return Array.from({ length: count }, async (_, index) => {
      while (this.#running) {
        await once(index);
      }
    });
  }

  async #readOnce(): Promise<void> {
    const whole = this.#random.below(3) === 0;
    const reader = new Reader({
      key: this.#system.callerKey("clinic"),
      urls: () => this.#entries().map((name) => this.#system.url(name)),
      record: (record) => this.records.push(record),
    });
    const { outcome, reconnects } = await reader.read({
      name: `ask-${this.#number++}`,
      class: whole ? "summary" : "report",
      tokens: 10 + this.#random.below(whole ? 40 : 150),
      stream: !whole,
    }, this.#random.below(8));
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    this.reconnects += reconnects;
    if (outcome !== "whole") {
      await pause(refusedMs);
    }
  }

  /** Books one slot; its name is the key, which every attempt repeats. */
  async #bookOnce(): Promise<void> {
    const key = `slot-${this.#number++}`;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      if (await this.#attempt(key, attempt)) {
        break;
      }
      await pause(refusedMs);
    }
    await pause(bookingMs);
  }

  async #attempt(key: string, attempt: number): Promise<boolean> {
    const entries = this.#entries();
    const entry = entries[this.#random.below(entries.length)] ?? "";
    const caller = new Caller(this.#system.callerKey("portal"));
    const record = (
      answer: { status: number; notRun: boolean | "unknown"; body: string },
      fromService: boolean,
    ) =>
      this.records.push({
        kind: "call_answered",
        at: performance.now(),
        key,
        attempt: `${key}/${attempt}`,
        fromService,
        ...answer,
      });
    try {
      const { status, body } = await limited(
        caller.call(this.#system.url(entry), "booking/bookings", {
          class: "booking",
          key,
          body: { slot: key, by: "anna" },
        }),
      );
      const fromService = body["kind"] === undefined;
      const notRun = fromService ? false : body["notRun"] as boolean;
      record({ status, notRun, body: JSON.stringify(body) }, fromService);
      // A replay is asked for now and then.
      return fromService && (attempt > 0 || this.#random.below(4) > 0);
    } catch {
      record({ status: 0, notRun: "unknown", body: "" }, false);
      return false;
    }
  }

  /** Two operators state changes over the version that they read. */
  async #operateOnce(index: number): Promise<void> {
    await pause(operatorMs * (1 + this.#random.fraction()));
    try {
      const operator = this.#system.operator(`steward-${index}`);
      const current = await limited(operator.get("configuration"));
      const { classes } = sampleStatement;
      const title = `Reports ${this.#number++}`;
      const report = { ...classes["report"], title } as never;
      const statement = {
        ...sampleStatement,
        classes: { ...classes, report },
      };
      const version = Number(current["version"]);
      const { status } = await limited(operator.apply(statement, version));
      this.configurations += status === 200 ? 1 : 0;
      this.conflicts += status === 409 || status === 412 ? 1 : 0;
    } catch {
      // The steward is being replaced.
    }
  }

  async #observeOnce(): Promise<void> {
    await pause(observeMs);
    for (const name of this.#entries()) {
      const { listening } = this.#system.program(name);
      const version = await versionOf(listening.address);
      if (version !== null) {
        this.records.push({
          kind: "configuration_seen",
          at: performance.now(),
          process: listening.epoch ?? name,
          version,
        });
      }
    }
  }

  #entries(): readonly string[] {
    return [...this.#system.programs.keys()].filter((name) =>
      name.startsWith("entry-") && !this.#system.program(name).ended
    );
  }
}

const versionGauge = /^lavenderferry_entry_configuration_version (\d+)$/m;
const observeTimeoutMs = 500;

/** Reads the configuration version of an entry; `null`: no answer. */
async function versionOf(address: string): Promise<number | null> {
  try {
    const response = await request(`http://${address}/metrics`, {
      signal: AbortSignal.timeout(observeTimeoutMs),
    });
    const found = versionGauge.exec(await response.body.text());
    return found === null ? null : Number(found[1]);
  } catch {
    return null;
  }
}

async function limited<Value>(promise: Promise<Value>): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new Error("No answer in time")),
      callTimeoutMs,
    );
  });
  return await Promise.race([promise, limit]).finally(() =>
    clearTimeout(timer)
  );
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
