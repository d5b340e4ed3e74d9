import type { Random } from "@lavenderferry/runtime";
import { request } from "undici";
import { Caller } from "../harness/caller.ts";
import { Reader } from "../harness/reader.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import type { System } from "../harness/system.ts";
import type { HistoryRecord } from "../history/history_record.ts";

const callTimeoutMs = 20_000;
const maxAttempts = 3;
const observationIntervalMs = 250;
const minChangeIntervalMs = 400;
const bookingIntervalMs = 60;
const failureDelayMs = 100;

/**
 * Readers, bookers and operators that send requests in loops until `stop`, and
 * an observer of configuration versions. Collects the history for the checker.
 */
export class Workload {
  readonly records: HistoryRecord[] = [];
  /** Number of generations by outcome, as in {@link ReaderResult}. */
  readonly outcomes = new Map<string, number>();
  /** Connections of readers after their first one. */
  reconnects = 0;
  /** Number of configurations that a steward accepted. */
  acceptedConfigurations = 0;
  /** Number of configurations refused for a version no longer current. */
  configurationConflicts = 0;
  readonly #system: System;
  readonly #random: Random;
  #nextNumber = 0;
  #running = true;

  constructor(system: System, random: Random) {
    this.#system = system;
    this.#random = random;
  }

  /** Runs every loop; resolves after `stop`, when the last one has ended. */
  async run(
    counts: { readonly readers: number; readonly bookers: number },
  ): Promise<void> {
    await Promise.all([
      ...this.#startLoops(counts.readers, () => this.#readAnswer()),
      ...this.#startLoops(counts.bookers, () => this.#bookSlot()),
      ...this.#startLoops(2, (index) => this.#changeConfiguration(index)),
      ...this.#startLoops(1, () => this.#observeVersions()),
    ]);
  }

  /** Starts no new requests; those in progress run to their end. */
  stop(): void {
    this.#running = false;
  }

  /** Adds the bookings that services ran, as kept by the platform. */
  async recordServiceRuns(): Promise<void> {
    const { platformUrl } = this.#system;
    const response = await request(`${platformUrl}/control/runs?pool=booking`);
    const { runs } = await response.body.json() as { runs: { slot: string }[] };
    for (const { slot: key } of runs) {
      this.records.push({ kind: "call_run", at: 0, key, service: "booking" });
    }
  }

  #startLoops(
    count: number,
    iterate: (index: number) => Promise<void>,
  ): readonly Promise<void>[] {
    return Array.from({ length: count }, async (_, index) => {
      while (this.#running) {
        await iterate(index);
      }
    });
  }

  async #readAnswer(): Promise<void> {
    const asDocument = this.#random.integerBelow(3) === 0;
    const reader = new Reader({
      key: this.#system.callerKey("clinic"),
      urls: () => this.#runningEntries().map((name) => this.#system.url(name)),
      record: (record) => this.records.push(record),
    });
    const { outcome, reconnects } = await reader.read({
      name: `ask-${this.#nextNumber++}`,
      class: asDocument ? "summary" : "report",
      tokens: 10 + this.#random.integerBelow(asDocument ? 40 : 150),
      stream: !asDocument,
    }, this.#random.integerBelow(8));
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    this.reconnects += reconnects;
    if (outcome !== "whole") {
      await delay(failureDelayMs);
    }
  }

  /** Books one slot; every attempt sends the slot's name as idempotency key. */
  async #bookSlot(): Promise<void> {
    const key = `slot-${this.#nextNumber++}`;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      if (await this.#tryBooking(key, attempt)) {
        break;
      }
      await delay(failureDelayMs);
    }
    await delay(bookingIntervalMs);
  }

  /** Sends one attempt and returns whether no further one is needed. */
  async #tryBooking(key: string, attempt: number): Promise<boolean> {
    const entries = this.#runningEntries();
    const entry = entries[this.#random.integerBelow(entries.length)] ?? "";
    const caller = new Caller(this.#system.callerKey("portal"));
    const recordAnswer = (
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
      const { status, body } = await withTimeout(
        caller.call(this.#system.url(entry), "booking/bookings", {
          class: "booking",
          key,
          body: { slot: key, by: "anna" },
        }),
      );
      const fromService = body["kind"] === undefined;
      const notRun = fromService ? false : body["notRun"] as boolean;
      recordAnswer({ status, notRun, body: JSON.stringify(body) }, fromService);
      // One in four first answers is requested again to check the replay.
      return fromService && (attempt > 0 || this.#random.integerBelow(4) > 0);
    } catch {
      recordAnswer({ status: 0, notRun: "unknown", body: "" }, false);
      return false;
    }
  }

  /**
   * Applies a change to the version just read. Two operators do so at the same
   * time, so some changes conflict.
   */
  async #changeConfiguration(index: number): Promise<void> {
    await delay(minChangeIntervalMs * (1 + this.#random.fraction()));
    try {
      const operator = this.#system.operator(`steward-${index}`);
      const current = await withTimeout(operator.get("configuration"));
      const { classes } = sampleStatement;
      const title = `Reports ${this.#nextNumber++}`;
      const report = { ...classes["report"], title } as never;
      const statement = {
        ...sampleStatement,
        classes: { ...classes, report },
      };
      const version = Number(current["version"]);
      const { status } = await withTimeout(operator.apply(statement, version));
      this.acceptedConfigurations += status === 200 ? 1 : 0;
      this.configurationConflicts += status === 409 || status === 412 ? 1 : 0;
    } catch {
      // A fault has made the steward unreachable.
    }
  }

  async #observeVersions(): Promise<void> {
    await delay(observationIntervalMs);
    for (const name of this.#runningEntries()) {
      const { listening } = this.#system.program(name);
      const version = await readVersion(listening.address);
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

  #runningEntries(): readonly string[] {
    return [...this.#system.programs.keys()].filter((name) =>
      name.startsWith("entry-") && !this.#system.program(name).exited
    );
  }
}

const versionGauge = /^lavenderferry_entry_configuration_version (\d+)$/m;
const observationTimeoutMs = 500;

/** Reads an entry's configuration version, `null` if it does not answer. */
async function readVersion(address: string): Promise<number | null> {
  try {
    const response = await request(`http://${address}/metrics`, {
      signal: AbortSignal.timeout(observationTimeoutMs),
    });
    const match = versionGauge.exec(await response.body.text());
    return match === null ? null : Number(match[1]);
  } catch {
    return null;
  }
}

/** Rejects if the promise is not settled within `callTimeoutMs`. */
async function withTimeout<Value>(promise: Promise<Value>): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new Error("No answer before the time-out")),
      callTimeoutMs,
    );
  });
  return await Promise.race([promise, timeout]).finally(() =>
    clearTimeout(timer)
  );
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
