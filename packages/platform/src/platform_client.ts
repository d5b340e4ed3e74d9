import type { Failure } from "@lavenderferry/errors";
import { KnownError } from "@lavenderferry/errors";
import { Random } from "@lavenderferry/runtime";
import PQueue from "p-queue";
import { z } from "zod";
import type { CircuitState } from "./circuit.ts";
import { Circuit } from "./circuit.ts";
import { HttpTransport } from "./http_transport.ts";
import type {
  ChangeFeed,
  Changes,
  CommitResult,
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

/** What a platform client is made from. */
export type PlatformOptions =
  & PlatformLimits
  & (
    /** Base address of a platform that is spoken to in JSON over HTTP. */
    | { readonly url: string }
    /** How another platform is reached. */
    | { readonly transport: Transport }
  );

/** Bounds of what a platform client sends. */
export interface PlatformLimits {
  /** Milliseconds after which an operation counts as failed. */
  readonly timeoutMs?: number;
  /** Operations in flight at the same time. */
  readonly concurrency?: number;
  /** Reads that this process may send in a second. */
  readonly readsPerSecond?: number;
  /** Writes that this process may send in a second. */
  readonly writesPerSecond?: number;
  /** Seed of the jitter. */
  readonly seed?: number;
}

const defaultTimeoutMs = 2_000;
const defaultConcurrency = 16;
const defaultReadsPerSecond = 400;
const defaultWritesPerSecond = 200;

/** Operations that wait at most; further ones are refused. */
const maxWaiting = 2_000;

/** Times that a read is sent. */
const readTries = 3;

/** Milliseconds before a read is sent again; they double. */
const retryMs = 50;

const secondMs = 1_000;

const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: z.json(),
});
const rowsSchema = z.object({ rows: z.array(rowSchema.nullable()) });
const scanSchema = z.object({ rows: z.array(rowSchema) });
const committedSchema = z.object({ versions: z.array(z.number()) });
const vmsSchema = z.object({ vms: z.array(vmSchema) });

/** Share by which the wait before a repeated read varies. */
const retryJitter = 0.5;

const changesSchema = z.object({
  rows: z.array(
    z.object({
      key: z.string(),
      version: z.number(),
      value: z.json().nullable(),
    }),
  ),
  version: z.number(),
  lost: z.boolean(),
});

interface Waiting {
  readonly queue: PQueue;
  readonly operation: Operation;
  readonly priority: Priority;
  readonly timeoutMs: number;
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
    this.#circuit = new Circuit(() => this.#random.fraction());
  }

  /** State of the circuit towards the store. */
  get circuit(): CircuitState {
    return this.#circuit.state;
  }

  /** Operations sent, and refused before they were sent. */
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
    return rowsSchema.parse(reply.body).rows as (Row | null)[];
  }

  async scan(
    prefix: string,
    priority: Priority,
    options: ScanOptions = {},
  ): Promise<readonly Row[]> {
    const operation = { kind: "scan", prefix, options } as const;
    const reply = await this.#read(operation, priority);
    return scanSchema.parse(reply.body).rows as Row[];
  }

  async changes(
    prefix: string,
    after: number | null,
    waitMs: number,
  ): Promise<Changes> {
    const operation = { kind: "changes", prefix, after, waitMs } as const;
    this.#operations.reads += 1;
    const reply = await this.#post({
      queue: this.#reads,
      operation,
      priority: "configuration",
      timeoutMs: this.#timeoutMs + waitMs,
    });
    return changesSchema.parse(reply.body) as Changes;
  }

  async commit(
    writes: readonly Write[],
    priority: Priority,
  ): Promise<CommitResult> {
    const reply = await this.#write({ kind: "commit", writes }, priority);
    if (reply.status === 409) {
      const { rows } = rowsSchema.parse(reply.body);
      return { kind: "conflict", rows: rows as (Row | null)[] };
    }
    const { versions } = committedSchema.parse(reply.body);
    return { kind: "committed", versions };
  }

  /** Reads the platform's list of live and leaving VMs; it lags. */
  async listVms(): Promise<readonly Vm[]> {
    const reply = await this.#read({ kind: "list_vms" }, "leases");
    return vmsSchema.parse(reply.body).vms;
  }

  /** Writes an object under a key. */
  async putObject(key: string, value: Json): Promise<void> {
    await this.#write({ kind: "put_object", key, value }, "cost");
  }

  /** Reads an object; `null` when it does not exist. */
  async getObject(key: string): Promise<Json> {
    const reply = await this.#read({ kind: "get_object", key }, "reports");
    return z.object({ value: z.json() }).parse(reply.body).value as Json;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    this.#reads.clear();
    this.#writes.clear();
    await this.#transport.close();
  }

  /** Sends a read, and sends it again where that can help. */
  async #read(operation: Operation, priority: Priority): Promise<Reply> {
    const timeoutMs = this.#timeoutMs;
    for (let round = 1;; round++) {
      try {
        this.#operations.reads += 1;
        const queue = this.#reads;
        return await this.#post({ queue, operation, priority, timeoutMs });
      } catch (error) {
        const closed = this.#circuit.state === "closed";
        if (round === readTries || !closed) {
          throw error;
        }
      }
      await wait(this.#random.jitter(retryMs * 2 ** round, retryJitter));
    }
  }

  async #write(operation: Operation, priority: Priority): Promise<Reply> {
    this.#operations.writes += 1;
    const timeoutMs = this.#timeoutMs;
    const queue = this.#writes;
    return await this.#post({ queue, operation, priority, timeoutMs });
  }

  /** Waits for the operation's turn; what was not sent has not run. */
  async #post(waiting: Waiting): Promise<Reply> {
    const { queue, operation, priority, timeoutMs } = waiting;
    if (queue.size >= maxWaiting) {
      throw this.#refuse("Too many operations wait for the platform");
    }
    const deadline = performance.now() + timeoutMs;
    const send = () => {
      if (performance.now() >= deadline) {
        throw this.#refuse("The operation waited too long for the platform");
      }
      if (!this.#circuit.allow(performance.now())) {
        throw this.#refuse("The platform is down");
      }
      this.#paceReturn();
      return this.#send(operation, timeoutMs);
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

  /** Lets the concurrency grow after an outage. */
  #paceReturn(): void {
    const share = this.#circuit.share(performance.now());
    const concurrency = Math.max(1, Math.ceil(this.#concurrency * share));
    for (const queue of [this.#reads, this.#writes]) {
      if (queue.concurrency !== concurrency) {
        queue.concurrency = concurrency;
      }
    }
  }

  async #send(operation: Operation, timeoutMs: number): Promise<Reply> {
    let reply: Reply;
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      reply = await this.#transport.send(operation, signal);
    } catch (cause) {
      this.#circuit.failed(performance.now());
      throw unavailable("The platform did not answer", "unknown", cause);
    }
    if (reply.status === 200 || reply.status === 409) {
      this.#circuit.succeeded(performance.now());
      return reply;
    }
    this.#circuit.failed(performance.now());
    const refused = reply.status === 429 || reply.status === 503;
    throw unavailable(
      `The platform answered with status ${reply.status}`,
      refused ? true : "unknown",
      undefined,
    );
  }
}

function createQueue(concurrency: number, perSecond: number): PQueue {
  return new PQueue({
    concurrency,
    interval: secondMs,
    intervalCap: perSecond,
  });
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function unavailable(
  message: string,
  notRun: true | "unknown",
  cause: unknown,
): Failure {
  return new KnownError(message, { kind: "store_unavailable", notRun, cause });
}
