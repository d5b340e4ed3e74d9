import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Json, Row, Vm } from "@lavenderferry/platform";
import { eraHeader, MemoryTable, vmSchema } from "@lavenderferry/platform";
import polka from "polka";
import { z } from "zod";
import { listen, readJson, sendJson } from "../util/http_server.ts";
import { RateLimit } from "../util/rate_limit.ts";
import { ServiceRuns, serviceRunSchema } from "./service_runs.ts";
import type { WeightStoreSizes } from "./weight_store.ts";
import { defaultWeightStoreSizes, WeightStore } from "./weight_store.ts";

/** Rates and sizes of a stand-in platform. */
export interface PlatformSizes {
  /** Rows read from the table per second; beyond that, status 429. */
  readonly readsPerSecond: number;
  /** Rows written to the table per second; beyond that, status 429. */
  readonly writesPerSecond: number;
  readonly weights: WeightStoreSizes;
}

/** Default rates and sizes, used where a test overrides none. */
export const defaultPlatformSizes: PlatformSizes = {
  readsPerSecond: 2_000,
  writesPerSecond: 400,
  weights: defaultWeightStoreSizes,
};

const faultsSchema = z.object({
  /** Answers every operation with status 503, before it takes effect. */
  down: z.boolean().default(false),
  /** Paths that answer with status 503, such as `/v1/table/commit`. */
  downPaths: z.array(z.string()).default([]),
  /** Milliseconds by which every operation is delayed. */
  delayMs: z.number().default(0),
  /** Share of commits whose answer is lost after they take effect. */
  lostAnswers: z.number().min(0).max(1).default(0),
  /** Milliseconds by which the list of VMs lags. */
  listLagMs: z.number().default(0),
});

type Faults = z.output<typeof faultsSchema>;

const readSchema = z.object({ keys: z.array(z.string()) });
const scanSchema = z.object({
  prefix: z.string(),
  after: z.string().optional(),
  limit: z.int().optional(),
});
const commitSchema = z.object({
  writes: z.array(z.object({
    key: z.string(),
    ifVersion: z.int().nullable(),
    value: z.json(),
  })),
});

interface VmListVersion {
  /** Monotonic milliseconds. */
  readonly publishedAt: number;
  readonly vms: readonly Vm[];
}

/**
 * Serves a table, objects, model weights and a list of VMs over HTTP, with
 * faults that `/control/faults` sets.
 */
export class PlatformServer {
  readonly #table = new MemoryTable();
  readonly #objects = new Map<string, Json>();
  /** Rows of the table when `/control/copy` was last called. */
  #copy: readonly Row[] = [];
  readonly #vms = new Map<string, Vm>();
  readonly #vmLists: VmListVersion[] = [{ publishedAt: 0, vms: [] }];
  /** Runs of all services, which survive the service processes. */
  readonly #serviceRuns = new ServiceRuns();
  readonly #weightStore: WeightStore;
  readonly #readLimit: RateLimit;
  readonly #writeLimit: RateLimit;
  #faults: Faults = faultsSchema.parse({});
  /** Grows by `lostAnswers` per commit; at 1, an answer is lost. */
  #lostAnswerCredit = 0;
  readonly #operationCounts = { reads: 0, writes: 0, limited: 0 };

  constructor(sizes: PlatformSizes = defaultPlatformSizes) {
    const now = performance.now();
    this.#readLimit = new RateLimit(sizes.readsPerSecond, now);
    this.#writeLimit = new RateLimit(sizes.writesPerSecond, now);
    this.#weightStore = new WeightStore(sizes.weights);
  }

  /** Starts to serve; returns the server and its port. */
  async start(
    ip: string,
    port: number,
  ): Promise<{ readonly server: Server; readonly port: number }> {
    const application = polka()
      .post("/v1/table/read", this.#operationHandler(this.#read))
      .post("/v1/table/scan", this.#operationHandler(this.#scan))
      .post("/v1/table/commit", this.#operationHandler(this.#commit))
      .post("/v1/objects/put", this.#operationHandler(this.#putObject))
      .post("/v1/objects/get", this.#operationHandler(this.#getObject))
      .post("/v1/vms/list", this.#operationHandler(this.#listVms))
      .get("/v1/weights/:model", (request, response) => {
        void this.#readWeights(String(request.params["model"]), response);
      })
      .get("/control/runs", (request, response) => {
        const pool = request.query["pool"] as string | undefined;
        sendJson(response, 200, { runs: this.#serviceRuns.listByPool(pool) });
      })
      .put("/control/runs", this.#controlHandler(this.#addRun))
      .put("/control/faults", this.#controlHandler(this.#setFaults))
      .put("/control/copy", this.#controlHandler(this.#copyTable))
      .put("/control/restore", this.#controlHandler(this.#restoreTable))
      .put("/control/vms", this.#controlHandler(this.#updateVm))
      .put(
        "/control/operations",
        this.#controlHandler(this.#getOperationCounts),
      );
    return await listen(application, ip, port);
  }

  readonly #read = async (body: unknown) => {
    const { keys } = readSchema.parse(body);
    this.#operationCounts.reads += 1;
    this.#enforceLimit(this.#readLimit, keys.length);
    return { rows: await this.#table.read(keys) };
  };

  readonly #scan = async (body: unknown) => {
    this.#operationCounts.reads += 1;
    this.#enforceLimit(this.#readLimit, 1);
    const { prefix, after, limit } = scanSchema.parse(body);
    const rows = await this.#table.scan(prefix, "reports", {
      ...(after === undefined ? {} : { after }),
      ...(limit === undefined ? {} : { limit }),
    });
    return { rows };
  };

  readonly #commit = async (body: unknown) => {
    const { writes } = commitSchema.parse(body);
    this.#operationCounts.writes += 1;
    this.#enforceLimit(this.#writeLimit, writes.length);
    return await this.#table.commit(writes as never);
  };

  readonly #putObject = (body: unknown) => {
    const parsed = z.object({ key: z.string(), value: z.json() }).parse(body);
    this.#objects.set(parsed.key, parsed.value as Json);
    return Promise.resolve({});
  };

  readonly #getObject = (body: unknown) => {
    const { key } = z.object({ key: z.string() }).parse(body);
    return Promise.resolve({ value: this.#objects.get(key) ?? null });
  };

  readonly #listVms = () => {
    const latestPublishedAt = performance.now() - this.#faults.listLagMs;
    const list = this.#vmLists.findLast((candidate) =>
      candidate.publishedAt <= latestPublishedAt
    );
    return Promise.resolve({ vms: list?.vms ?? [] });
  };

  readonly #setFaults = (body: unknown) => {
    this.#faults = faultsSchema.parse(body);
    return {};
  };

  readonly #copyTable = () => {
    this.#copy = this.#table.copy();
    return {};
  };

  readonly #restoreTable = () => {
    this.#table.restore(this.#copy);
    return {};
  };

  readonly #updateVm = (body: unknown) => {
    const removed = z.object({ remove: z.string() }).safeParse(body);
    if (removed.success) {
      this.#vms.delete(removed.data.remove);
    } else {
      const vm = vmSchema.parse(body);
      this.#vms.set(vm.id, vm);
    }
    const vms = [...this.#vms.values()];
    this.#vmLists.push({ publishedAt: performance.now(), vms });
    return {};
  };

  readonly #getOperationCounts = () => ({ ...this.#operationCounts });

  readonly #addRun = (body: unknown) => {
    this.#serviceRuns.add(serviceRunSchema.parse(body));
    return {};
  };

  async #readWeights(model: string, response: ServerResponse): Promise<void> {
    const { down, downPaths } = this.#faults;
    if (down || downPaths.includes("/v1/weights")) {
      sendJson(response, 503, { error: "down" });
      return;
    }
    const completeAt = this.#weightStore.scheduleRead(performance.now());
    if (completeAt === null) {
      sendJson(response, 429, { error: "limited" });
      return;
    }
    await delay(completeAt - performance.now());
    sendJson(response, 200, { model, bytes: this.#weightStore.bytesPerModel });
  }

  #enforceLimit(rateLimit: RateLimit, amount: number): void {
    if (!rateLimit.tryAcquire(amount, performance.now())) {
      this.#operationCounts.limited += 1;
      throw new RefusedOperationError(429, "limited");
    }
  }

  #operationHandler(run: (body: unknown) => Promise<object>) {
    return (request: IncomingMessage, response: ServerResponse): void => {
      void this.#handleOperation(run, request, response);
    };
  }

  #controlHandler(run: (body: unknown) => object) {
    return async (
      request: IncomingMessage,
      response: ServerResponse,
    ): Promise<void> => {
      try {
        sendJson(response, 200, run(await readJson(request)));
      } catch (error) {
        sendJson(response, 400, { error: String(error) });
      }
    };
  }

  async #handleOperation(
    run: (body: unknown) => Promise<object>,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const body = await readJson(request);
      await delay(this.#faults.delayMs);
      this.#throwIfDown(request.url ?? "");
      const result = await run(body);
      if (run === this.#commit && this.#losesAnswer()) {
        response.destroy();
        return;
      }
      response.setHeader(eraHeader, this.#table.era);
      const conflict = "kind" in result && result.kind === "conflict";
      sendJson(response, conflict ? 409 : 200, result);
    } catch (error) {
      const status = error instanceof RefusedOperationError
        ? error.status
        : 400;
      sendJson(response, status, { error: String(error) });
    }
  }

  #throwIfDown(path: string): void {
    const { down, downPaths } = this.#faults;
    if (down || downPaths.includes(path)) {
      throw new RefusedOperationError(503, "down");
    }
  }

  #losesAnswer(): boolean {
    this.#lostAnswerCredit += this.#faults.lostAnswers;
    if (this.#lostAnswerCredit < 1) {
      return false;
    }
    this.#lostAnswerCredit -= 1;
    return true;
  }
}

/** Signals an operation that was refused before it took effect. */
class RefusedOperationError extends Error {
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

async function delay(milliseconds: number): Promise<void> {
  if (milliseconds > 0) {
    await new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}
