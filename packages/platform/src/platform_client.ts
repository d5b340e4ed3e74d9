import type { Failure } from "@lavenderferry/errors";
import { KnownError } from "@lavenderferry/errors";
import { createLogger, Random } from "@lavenderferry/runtime";
import type PQueue from "p-queue";
import { z } from "zod";
import type { CircuitState } from "./circuit.ts";
import { Circuit } from "./circuit.ts";
import { HttpTransport } from "./http_transport.ts";
import { createQueue, setConcurrency } from "./operation_queue.ts";
import { ProgressDeadline } from "./progress_deadline.ts";
import type { StoreVersion } from "./store_version.ts";
import {
  eraOf,
  maxEra,
  toStoreVersion,
  versionInEra,
} from "./store_version.ts";
import type {
  ChangeFeed,
  Changes,
  CommitResult,
  FeedWait,
  Json,
  Priority,
  Row,
  ScanOptions,
  Table,
  Write,
} from "./table.ts";
import { priorities } from "./table.ts";
import type { Operation, Reply, Transport } from "./transport.ts";
import type { Vm } from "./vm_list.ts";
import { vmSchema } from "./vm_list.ts";

/** Options of a platform client: its limits, and a URL or a transport. */
export type PlatformOptions =
  & PlatformLimits
  & (
    /** Base URL of a platform that is reached by JSON over HTTP. */
    | { readonly url: string }
    /** Transport to a platform that uses another protocol. */
    | { readonly transport: Transport }
  );

/** Time-out and rate limits of a platform client. */
export interface PlatformLimits {
  /**
   * Milliseconds to wait in the queue, and again for the answer to begin or be
   * complete.
   */
  readonly timeoutMs?: number;
  /** Maximum number of reads, and of writes, in flight at a time. */
  readonly concurrency?: number;
  /** Maximum number of reads that this process sends in a second. */
  readonly readsPerSecond?: number;
  /** Maximum number of writes that this process sends in a second. */
  readonly writesPerSecond?: number;
  /** Longest time, in milliseconds, without a probe while the platform is down. */
  readonly maxOpenMs?: number;
  /** Seed of the jitter of retries and probes. */
  readonly seed?: number;
}

const defaultTimeoutMs = 2_000;
const defaultConcurrency = 16;
const defaultReadsPerSecond = 400;
const defaultWritesPerSecond = 200;

/** Maximum length of a queue; further operations are refused. */
const maxQueuedOperations = 2_000;

/** Attempts per read, the first included. */
const maxReadAttempts = 3;

/** Base of the delay before a retry of a read; doubled for each attempt. */
const retryBaseMs = 50;

const log = createLogger("platform");

/**
 * A value that was parsed as JSON. Whoever uses it checks it: a check here would
 * refuse all rows for the sake of one.
 */
const valueSchema = z.custom<Json>((value) => value !== undefined);

const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: valueSchema,
});
const rowsSchema = z.object({ rows: z.array(rowSchema.nullable()) });
const scanSchema = z.object({ rows: z.array(rowSchema) });
const committedSchema = z.object({ versions: z.array(z.number()) });
const vmsSchema = z.object({ vms: z.array(z.unknown()) });

/** Share by which the delay before a retry of a read varies. */
const retryJitterShare = 0.5;

const changesSchema = z.object({
  rows: z.array(
    z.object({
      key: z.string(),
      version: z.number(),
      value: valueSchema,
    }),
  ),
  version: z.number(),
  lost: z.boolean(),
});

/** An answer with the era in which it was given. */
interface DatedReply extends Reply {
  readonly era: number;
}

interface QueuedOperation {
  readonly queue: PQueue;
  readonly operation: Operation;
  readonly priority: Priority;
  readonly timeoutMs: number;
  /** Monotonic milliseconds at which it is given up in any case. */
  readonly deadline?: number;
}

/** Client of the platform's table, objects and VM list. */
export class PlatformClient implements Table, ChangeFeed {
  readonly #transport: Transport;
  readonly #reads: PQueue;
  readonly #writes: PQueue;
  readonly #circuit: Circuit;
  readonly #random: Random;
  readonly #concurrency: number;
  readonly #timeoutMs: number;
  readonly #operations = { reads: 0, writes: 0, refused: 0 };
  /** Callbacks that end the feeds that are being read. */
  readonly #waitingFeeds = new Set<() => void>();
  /** Long polls that were sent; the store does no work for them. */
  #polls = 0;
  #era = 0;
  #unreadableVms = 0;

  constructor(options: PlatformOptions) {
    const concurrency = options.concurrency ?? defaultConcurrency;
    this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    this.#transport = "transport" in options
      ? options.transport
      : new HttpTransport(options.url, concurrency);
    this.#concurrency = concurrency;
    this.#reads = createQueue(
      concurrency,
      options.readsPerSecond ?? defaultReadsPerSecond,
    );
    this.#writes = createQueue(
      concurrency,
      options.writesPerSecond ?? defaultWritesPerSecond,
    );
    this.#random = new Random(options.seed ?? Date.now());
    this.#circuit = new Circuit(
      () => this.#random.fraction(),
      options.maxOpenMs,
    );
  }

  /** State of the circuit breaker for the platform. */
  get circuit(): CircuitState {
    return this.#circuit.state;
  }

  /** Highest era that an answer has named; 0 if none did. */
  get era(): number {
    return this.#era;
  }

  /**
   * Counts since the start: attempts to read, writes, and those of both that
   * were refused before they were sent.
   */
  get operations(): {
    readonly reads: number;
    readonly writes: number;
    readonly refused: number;
  } {
    return { ...this.#operations };
  }

  async read(
    keys: readonly string[],
    priority: Priority,
  ): Promise<readonly (Row | null)[]> {
    const reply = await this.#read({ kind: "read", keys }, priority);
    return toRows(reply);
  }

  async scan(
    prefix: string,
    priority: Priority,
    options: ScanOptions = {},
  ): Promise<readonly Row[]> {
    const operation = { kind: "scan", prefix, options } as const;
    const reply = await this.#read(operation, priority);
    const { rows } = scanSchema.parse(reply.body);
    return withStoreVersions(rows as Row[], reply.era);
  }

  async changes(
    prefix: string,
    after: StoreVersion | null,
    wait: FeedWait,
  ): Promise<Changes> {
    if (after !== null && eraOf(after) < this.#era) {
      return { rows: [], version: after, lost: true };
    }
    if (after === null) {
      return await this.#readChanges(prefix, after, wait);
    }
    return await new Promise((resolve, reject) => {
      const end = () => {
        resolve({ rows: [], version: after, lost: true });
      };
      this.#waitingFeeds.add(end);
      this.#readChanges(prefix, after, wait).then(resolve, reject)
        .finally(() => this.#waitingFeeds.delete(end));
    });
  }

  async #readChanges(
    prefix: string,
    after: StoreVersion | null,
    { waitMs, deadline = Infinity }: FeedWait,
  ): Promise<Changes> {
    const operation = {
      kind: "changes",
      prefix,
      after: after === null ? null : versionInEra(after),
      waitMs,
    } as const;
    this.#operations.reads += 1;
    const reply = await this.#enqueue({
      queue: this.#reads,
      operation,
      priority: "configuration",
      timeoutMs: this.#timeoutMs + waitMs,
      deadline,
    });
    const { era } = reply;
    const { rows, version, lost } = changesSchema.parse(reply.body) as Changes;
    return {
      rows: withStoreVersions(rows, era),
      version: toStoreVersion(era, version),
      // Changes of another era than that of the version may lack rows.
      lost: lost || (after !== null && eraOf(after) !== era),
    };
  }

  async commit(
    writes: readonly Write[],
    priority: Priority,
  ): Promise<CommitResult> {
    const era = this.#era;
    const conditions = writes.flatMap(({ ifVersion }) => ifVersion ?? []);
    if (conditions.some((version) => eraOf(version) < era)) {
      // Another row may have been given the same version again.
      const rows = await this.read(writes.map(({ key }) => key), priority);
      return { kind: "conflict", rows };
    }
    const operation = {
      kind: "commit",
      writes: writes.map(toRawWrite),
    } as const;
    const reply = await this.#write(operation, priority);
    if (reply.status === 409) {
      return { kind: "conflict", rows: toRows(reply) };
    }
    if (reply.era !== era && conditions.length > 0) {
      throw storeUnavailable(
        "The platform's table was restored during the write",
        "unknown",
      );
    }
    const { versions } = committedSchema.parse(reply.body);
    return {
      kind: "committed",
      versions: versions.map((version) => toStoreVersion(reply.era, version)),
    };
  }

  /** Reads the platform's list of live and leaving VMs, which may be stale. */
  async listVms(): Promise<readonly Vm[]> {
    const reply = await this.#read({ kind: "list_vms" }, "leases");
    const { era } = reply;
    const { vms } = vmsSchema.parse(reply.body);
    const parsed = vms.map((vm) => vmSchema.safeParse(vm));
    this.#reportUnreadableVms(parsed.filter(({ success }) => !success).length);
    return parsed.flatMap(({ data }) => data === undefined ? [] : [data])
      .map((vm) => ({
        ...vm,
        ...(vm.version === undefined
          ? {}
          : { version: toStoreVersion(era, vm.version) }),
      }));
  }

  /** Logs a change of the number of entries that name no VM to use. */
  #reportUnreadableVms(count: number): void {
    if (count !== this.#unreadableVms) {
      this.#unreadableVms = count;
      log("The VM list has entries that cannot be read", { count });
    }
  }

  /** Writes an object under a key. */
  async putObject(key: string, value: Json): Promise<void> {
    await this.#write({ kind: "put_object", key, value }, "cost");
  }

  /** Reads an object; `null` when it does not exist. */
  async getObject(key: string): Promise<Json> {
    const reply = await this.#read({ kind: "get_object", key }, "reports");
    return z.object({ value: valueSchema }).parse(reply.body).value;
  }

  /** Discards the queued operations and closes all connections. */
  async close(): Promise<void> {
    this.#reads.clear();
    this.#writes.clear();
    await this.#transport.close();
  }

  /** Sends a read, and retries it while the circuit is closed. */
  async #read(operation: Operation, priority: Priority): Promise<DatedReply> {
    const timeoutMs = this.#timeoutMs;
    for (let attempt = 1;; attempt++) {
      try {
        this.#operations.reads += 1;
        const queue = this.#reads;
        return await this.#enqueue({ queue, operation, priority, timeoutMs });
      } catch (error) {
        const closed = this.#circuit.state === "closed";
        if (attempt === maxReadAttempts || !closed) {
          throw error;
        }
      }
      await wait(
        this.#random.jitter(retryBaseMs * 2 ** attempt, retryJitterShare),
      );
    }
  }

  async #write(operation: Operation, priority: Priority): Promise<DatedReply> {
    this.#operations.writes += 1;
    const timeoutMs = this.#timeoutMs;
    const queue = this.#writes;
    return await this.#enqueue({ queue, operation, priority, timeoutMs });
  }

  /** Queues an operation; if it fails unsent, the error has `notRun: true`. */
  async #enqueue(queued: QueuedOperation): Promise<DatedReply> {
    const { queue, operation, priority, timeoutMs } = queued;
    const { deadline: givenUpAt = Infinity } = queued;
    if (queue.size >= maxQueuedOperations) {
      throw this.#refuse("The queue of operations for the platform is full");
    }
    const deadline = Math.min(givenUpAt, performance.now() + timeoutMs);
    const send = () => {
      if (performance.now() >= deadline) {
        throw this.#refuse(
          "The operation timed out in the queue for the platform",
        );
      }
      if (!this.#circuit.allow(performance.now())) {
        throw this.#refuse("The circuit to the platform is open");
      }
      const isPoll = operation.kind === "changes" && operation.waitMs > 0;
      this.#polls += isPoll ? 1 : 0;
      this.#adjustConcurrency();
      const remainingMs = Math.ceil(givenUpAt - performance.now());
      return this.#send(operation, Math.min(timeoutMs, remainingMs))
        .finally(() => (this.#polls -= isPoll ? 1 : 0));
    };
    return await queue.add(send, { priority: priorities[priority] });
  }

  #refuse(message: string): Failure {
    this.#operations.refused += 1;
    return new KnownError(message, {
      kind: "store_unavailable",
      notRun: true,
      retryAfterMs: Math.ceil(this.#circuit.waitMs(performance.now())),
    });
  }

  /** Ends the feeds of earlier eras, which may wait in vain for changes. */
  #endFeeds(): void {
    for (const end of this.#waitingFeeds) {
      end();
    }
    this.#waitingFeeds.clear();
  }

  /** Returns the era of a reply: the current one if it names none. */
  #eraOfReply({ era = this.#era }: Reply): number {
    return era > maxEra ? this.#era : era;
  }

  /**
   * Raises the concurrency gradually after an outage. Long polls need a place
   * each, as they would leave none to other reads at the start.
   */
  #adjustConcurrency(): void {
    const share = this.#circuit.concurrencyShare(performance.now());
    const concurrency = Math.max(1, Math.ceil(this.#concurrency * share));
    setConcurrency(this.#reads, concurrency + this.#polls);
    setConcurrency(this.#writes, concurrency);
  }

  async #send(operation: Operation, timeoutMs: number): Promise<DatedReply> {
    let reply: Reply;
    const deadline = new ProgressDeadline(timeoutMs);
    try {
      const { signal, bytesReceived } = deadline;
      reply = await this.#transport.send(operation, signal, bytesReceived);
    } catch (cause) {
      this.#circuit.recordFailure(performance.now());
      throw storeUnavailable("The platform did not answer", "unknown", cause);
    } finally {
      deadline.clear();
    }
    const era = this.#eraOfReply(reply);
    if (era < this.#era) {
      this.#circuit.recordFailure(performance.now());
      throw storeUnavailable(
        "The platform's answer is older than the restored table",
        "unknown",
      );
    }
    if (era > this.#era) {
      this.#era = era;
      this.#endFeeds();
    }
    if (reply.status === 200 || reply.status === 409) {
      this.#circuit.recordSuccess(performance.now());
      return { ...reply, era };
    }
    this.#circuit.recordFailure(performance.now());
    const refused = reply.status === 429 || reply.status === 503;
    throw storeUnavailable(
      `The platform answered with status ${reply.status}`,
      refused ? true : "unknown",
    );
  }
}

function toRows({ body, era }: DatedReply): readonly (Row | null)[] {
  const { rows } = rowsSchema.parse(body);
  return rows.map((row) =>
    row === null ? null : withStoreVersion(row as Row, era)
  );
}

function withStoreVersions<Item extends Pick<Row, "version">>(
  rows: readonly Item[],
  era: number,
): readonly Item[] {
  return rows.map((row) => withStoreVersion(row, era));
}

function withStoreVersion<Item extends Pick<Row, "version">>(
  row: Item,
  era: number,
): Item {
  return { ...row, version: toStoreVersion(era, row.version) };
}

function toRawWrite({ ifVersion, ...write }: Write): Write {
  const version = ifVersion === null ? null : versionInEra(ifVersion);
  return { ...write, ifVersion: version };
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function storeUnavailable(
  message: string,
  notRun: true | "unknown",
  cause?: unknown,
): Failure {
  return new KnownError(message, { kind: "store_unavailable", notRun, cause });
}
