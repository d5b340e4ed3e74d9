import type { Moment } from "@lavenderferry/runtime";
import type { BegunPrompt } from "./suspect_blocks.ts";
import { isRequestBlock } from "./suspect_blocks.ts";

/** Attempts that an engine had just begun when their connections were lost. */
export interface EarlyLoss {
  readonly address: string;
  /** Monotonic milliseconds of the first loss. */
  readonly lostAt: number;
  /** Monotonic milliseconds from which the engine is to be checked. */
  readonly checkAt: number;
  /** Whether the check was decided on. */
  checking: boolean;
  prompts: BegunPrompt[];
}

/** What follows from early losses at an engine once its check is due. */
export type EarlyLossFinding =
  | { readonly kind: "check_engine"; readonly address: string }
  | {
    /** Only requests as a whole are held against the engine if it has ended. */
    readonly kind: "network_fault";
    /** `null`: no request is left that it could be held against. */
    readonly address: string | null;
    readonly figures: {
      readonly prompts: number;
      /** Number of engines to which connections were lost together. */
      readonly engines: number;
    };
  };

interface LostConnection {
  readonly lostAt: number;
  /** Monotonic milliseconds at which the attempt on it was sent. */
  readonly sentAt: number;
}

/**
 * Milliseconds from an attempt's first event within which its loss counts as
 * early. Engines that a prompt ends do so within a few steps.
 */
const earlyLossMs = 500;

/**
 * Milliseconds from an early loss until its engine is checked. An engine that
 * ended is started again after some seconds.
 */
const checkDelayMs = 150;

/**
 * Losses at this many engines within `networkFaultWindowMs` are taken for a
 * fault of the network on this side.
 */
const minNetworkFaultEngines = 3;
const networkFaultWindowMs = 30;

/** Milliseconds for which lost connections are remembered. */
const lossMemoryMs = 2_000;

/**
 * Milliseconds for which an early loss at a silent engine is kept. The list of
 * upstreams lacks an engine that ended after some seconds.
 */
const earlyLossMemoryMs = 10_000;

/**
 * Whether an attempt was lost before or shortly after its first event; `null`:
 * there was none.
 */
export function isEarlyLoss(firstEventAt: number | null, at: Moment): boolean {
  return firstEventAt === null || at.monotonic - firstEventAt <= earlyLossMs;
}

/**
 * Collects the attempts that were lost as engines began them, until it is known
 * whether their engines have ended.
 */
export class EarlyLosses {
  readonly #losses = new Map<string, EarlyLoss>();
  /** Latest lost connections, by engine id. */
  readonly #connections = new Map<string, LostConnection>();

  /**
   * Records that a connection to an engine was lost. An attempt that was sent
   * after other engines were lost shares no cause with them; without `sentAt`
   * it may.
   */
  recordConnection(
    engine: string,
    at: Moment,
    { sentAt = 0 }: { readonly sentAt?: number } = {},
  ): void {
    const lostAt = at.monotonic;
    for (const [id, connection] of this.#connections) {
      if (lostAt - connection.lostAt > lossMemoryMs) {
        this.#connections.delete(id);
      }
    }
    const previous = this.#connections.get(engine);
    const isSameLoss = previous !== undefined &&
      lostAt - previous.lostAt <= networkFaultWindowMs;
    this.#connections.set(engine, {
      lostAt,
      sentAt: isSameLoss ? Math.min(previous.sentAt, sentAt) : sentAt,
    });
  }

  /**
   * Records an attempt that was lost early. Returns when its engine is to be
   * checked, or `null` if an earlier loss has led to a check.
   */
  record(
    engine: string,
    { address, ...prompt }: BegunPrompt & { readonly address: string },
    at: Moment,
  ): number | null {
    for (const [id, { lostAt }] of this.#losses) {
      if (at.monotonic - lostAt > earlyLossMemoryMs) {
        this.#losses.delete(id);
      }
    }
    const known = this.#losses.get(engine);
    if (known !== undefined) {
      known.prompts.push(prompt);
      return null;
    }
    const lostAt = at.monotonic;
    const checkAt = lostAt + checkDelayMs;
    const prompts = [prompt];
    const checking = false;
    this.#losses.set(engine, { address, lostAt, checkAt, checking, prompts });
    return checkAt;
  }

  /** Whether it is not known yet if an engine has ended after early losses. */
  isPending(engine: string): boolean {
    return this.#losses.has(engine);
  }

  /** Returns the ids of the engines whose check is due. */
  due(at: Moment): readonly string[] {
    return [...this.#losses]
      .filter(([, { checking, checkAt }]) =>
        !checking && checkAt <= at.monotonic
      )
      .map(([engine]) => engine);
  }

  /**
   * Decides what an engine is checked for. Losses that come with those of other
   * engines do not count against prompts, which share blocks. Equal requests are
   * rare, and one of them may end all engines of a small service at once.
   */
  assess(engine: string): EarlyLossFinding | null {
    const loss = this.#losses.get(engine);
    if (loss === undefined) {
      return null;
    }
    const { address, lostAt, prompts } = loss;
    const sentAt = this.#connections.get(engine)?.sentAt ?? 0;
    const others = [...this.#connections].filter(([id, other]) =>
      id !== engine &&
      Math.abs(other.lostAt - lostAt) <= networkFaultWindowMs &&
      sentAt <= other.lostAt && other.sentAt <= lostAt
    );
    const engines = others.length + 1;
    if (engines < minNetworkFaultEngines) {
      loss.checking = true;
      return { kind: "check_engine", address };
    }
    const figures = { prompts: prompts.length, engines };
    loss.prompts = prompts.flatMap(({ attemptId, blocks }) => {
      const requests = blocks.filter(isRequestBlock);
      return requests.length === 0 ? [] : [{ attemptId, blocks: requests }];
    });
    if (loss.prompts.length === 0) {
      this.#losses.delete(engine);
      return { kind: "network_fault", address: null, figures };
    }
    loss.checking = true;
    return { kind: "network_fault", address, figures };
  }

  /** Removes and returns the early losses at an engine. */
  take(engine: string): EarlyLoss | undefined {
    const loss = this.#losses.get(engine);
    this.#losses.delete(engine);
    return loss;
  }
}
