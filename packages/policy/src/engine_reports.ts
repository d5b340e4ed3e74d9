import type { Moment } from "@lavenderferry/runtime";
import type { EngineLoad } from "./dispatcher.ts";

/**
 * Age up to which a report is not requested again. Engines renew their figures
 * every few hundred milliseconds.
 */
const freshMs = 300;

/**
 * Age up to which a report is kept. Generations take 7 to 8 seconds, so an older
 * one says little.
 */
const retentionMs = 10_000;

/** Milliseconds that a decision waits for a report that was requested. */
export const reportWaitMs = 40;

/** Milliseconds after which a report that was requested no longer arrives. */
export const reportTimeoutMs = 300;

/** The newest report of an engine. */
export interface KnownReport {
  readonly load: EngineLoad;
  /** Moment at which the report was requested. */
  readonly askedAt: Moment;
}

/**
 * The newest report of each engine and the requests for reports in progress. A
 * report is discarded when it is too old or its engine is no longer used.
 */
export class EngineReports {
  readonly #reports = new Map<string, KnownReport>();
  /** Monotonic milliseconds at which the open requests were sent. */
  readonly #requests = new Map<string, number>();

  /** Number of engines with a report. */
  get count(): number {
    return this.#reports.size;
  }

  /** Returns the newest report of an engine, or `null` if none is kept. */
  newest(id: string, at: Moment): KnownReport | null {
    const report = this.#reports.get(id);
    if (report === undefined || ageMsOf(report, at) <= retentionMs) {
      return report ?? null;
    }
    this.#reports.delete(id);
    return null;
  }

  /** Returns a report that need not be requested again, or `null`. */
  fresh(id: string, at: Moment): KnownReport | null {
    const report = this.newest(id, at);
    return report === null || ageMsOf(report, at) > freshMs ? null : report;
  }

  /** Age of the newest report in milliseconds; -1 if there is none. */
  ageMs(id: string, at: Moment): number {
    const report = this.newest(id, at);
    return report === null ? -1 : Math.round(ageMsOf(report, at));
  }

  /** Whether a request for a report may still be answered. */
  isRequested(id: string, at: Moment): boolean {
    const sentAt = this.#requests.get(id) ?? -Infinity;
    return at.monotonic < sentAt + reportTimeoutMs;
  }

  /**
   * Returns the monotonic time until which decisions wait for a report that was
   * requested; `-Infinity` if none was, or if it is late already.
   */
  awaitedUntil(id: string, at: Moment): number {
    const deadline = (this.#requests.get(id) ?? -Infinity) + reportWaitMs;
    return deadline > at.monotonic ? deadline : -Infinity;
  }

  /** Records that a report was requested. */
  requested(id: string, at: Moment): void {
    this.#requests.set(id, at.monotonic);
  }

  /** Records the end of a request; `null`: the engine did not report. */
  record(id: string, report: KnownReport | null): void {
    this.#requests.delete(id);
    const known = this.#reports.get(id);
    if (
      report !== null &&
      (known?.askedAt.monotonic ?? -Infinity) <= report.askedAt.monotonic
    ) {
      this.#reports.set(id, report);
    }
  }

  /** Discards what is known of engines that are no longer used. */
  retain(ids: { has(id: string): boolean }): void {
    for (const known of [this.#reports, this.#requests]) {
      for (const id of known.keys()) {
        if (!ids.has(id)) {
          known.delete(id);
        }
      }
    }
  }
}

/** The monotonic clock does not count the time for which a VM is suspended. */
function ageMsOf({ askedAt }: KnownReport, at: Moment): number {
  return Math.max(at.monotonic - askedAt.monotonic, at.wall - askedAt.wall);
}
