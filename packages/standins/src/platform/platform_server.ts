import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Json, Vm } from "@lavenderferry/platform";
import { MemoryTable, vmSchema } from "@lavenderferry/platform";
import polka from "polka";
import { z } from "zod";
import { listen, readJson, sendJson } from "../util/http_server.ts";
import { RateLimit } from "../util/rate_limit.ts";
import { ServiceRuns, serviceRunSchema } from "./service_runs.ts";
import type { WeightStoreSizes } from "./weight_store.ts";
import { defaultWeightStoreSizes, WeightStore } from "./weight_store.ts";

/** What a stand-in platform is made from. */
export interface PlatformSizes {
  /** Rows that the table reads in a second; more gets status 429. */
  readonly readsPerSecond: number;
  /** Rows that the table writes in a second; more gets status 429. */
  readonly writesPerSecond: number;
  readonly weights: WeightStoreSizes;
}

/** Default sizes of the platform. */
export const defaultPlatformSizes: PlatformSizes = {
  readsPerSecond: 2_000,
  writesPerSecond: 400,
  weights: defaultWeightStoreSizes,
};

const faultsSchema = z.object({
  /** Answers every operation with status 503, before it takes effect. */
  down: z.boolean().default(false),
  /** Paths that answer with status 503, as `/v1/table/commit`. */
  downPaths: z.array(z.string()).default([]),
  /** Milliseconds added to every operation. */
  delayMs: z.number().default(0),
  /** Share of commits whose answer is lost after they took effect. */
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

interface ListVersion {
  readonly since: number;
  readonly vms: readonly Vm[];
}

/** Serves a table, objects and a list of VMs over HTTP, with faults. */
export class PlatformServer {
  readonly #table = new MemoryTable();
  readonly #objects = new Map<string, Json>();
  readonly #vms = new Map<string, Vm>();
  readonly #lists: ListVersion[] = [{ since: 0, vms: [] }];
  readonly #runs = new ServiceRuns();
  readonly #weights: WeightStore;
  readonly #reads: RateLimit;
  readonly #writes: RateLimit;
  #faults: Faults = faultsSchema.parse({});
  #lostCredit = 0;
  readonly #operations = { reads: 0, writes: 0, limited: 0 };

  constructor(sizes: PlatformSizes = defaultPlatformSizes) {
    const now = performance.now();
    this.#reads = new RateLimit(sizes.readsPerSecond, now);
    this.#writes = new RateLimit(sizes.writesPerSecond, now);
    this.#weights = new WeightStore(sizes.weights);
  }

  /** Starts to serve. */
  async start(
    ip: string,
    port: number,
  ): Promise<{ readonly server: Server; readonly port: number }> {
    const application = polka()
      .post("/v1/table/read", this.#operation(this.#read))
      .post("/v1/table/scan", this.#operation(this.#scan))
      .post("/v1/table/commit", this.#operation(this.#commit))
      .post("/v1/objects/put", this.#operation(this.#putObject))
      .post("/v1/objects/get", this.#operation(this.#getObject))
      .post("/v1/vms/list", this.#operation(this.#listVms))
      .get("/v1/weights/:model", (request, response) => {
        void this.#readWeights(String(request.params["model"]), response);
      })
      .get("/control/runs", (request, response) => {
        const pool = request.query["pool"] as string | undefined;
        sendJson(response, 200, { runs: this.#runs.of(pool) });
      })
      .put("/control/runs", this.#control(this.#addRun))
      .put("/control/faults", this.#control(this.#setFaults))
      .put("/control/vms", this.#control(this.#setVm))
      .put("/control/operations", this.#control(this.#countOperations));
    return await listen(application, ip, port);
  }

  readonly #read = async (body: unknown) => {
    const { keys } = readSchema.parse(body);
    this.#operations.reads += 1;
    this.#limit(this.#reads, keys.length);
    return { rows: await this.#table.read(keys) };
  };

  readonly #scan = async (body: unknown) => {
    this.#operations.reads += 1;
    this.#limit(this.#reads, 1);
    const { prefix, after, limit } = scanSchema.parse(body);
    const rows = await this.#table.scan(prefix, "reports", {
      ...(after === undefined ? {} : { after }),
      ...(limit === undefined ? {} : { limit }),
    });
    return { rows };
  };

  readonly #commit = async (body: unknown) => {
    const { writes } = commitSchema.parse(body);
    this.#operations.writes += 1;
    this.#limit(this.#writes, writes.length);
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
    const until = performance.now() - this.#faults.listLagMs;
    const found = this.#lists.findLast((each) => each.since <= until);
    return Promise.resolve({ vms: found?.vms ?? [] });
  };

  readonly #setFaults = (body: unknown) => {
    this.#faults = faultsSchema.parse(body);
    return {};
  };

  readonly #setVm = (body: unknown) => {
    const removed = z.object({ remove: z.string() }).safeParse(body);
    if (removed.success) {
      this.#vms.delete(removed.data.remove);
    } else {
      const vm = vmSchema.parse(body);
      this.#vms.set(vm.id, vm);
    }
    const vms = [...this.#vms.values()];
    this.#lists.push({ since: performance.now(), vms });
    return {};
  };

  readonly #countOperations = () => ({ ...this.#operations });

  readonly #addRun = (body: unknown) => {
    this.#runs.add(serviceRunSchema.parse(body));
    return {};
  };

  async #readWeights(model: string, response: ServerResponse): Promise<void> {
    const { down, downPaths } = this.#faults;
    if (down || downPaths.includes("/v1/weights")) {
      sendJson(response, 503, { error: "down" });
      return;
    }
    const completeAt = this.#weights.read(performance.now());
    if (completeAt === null) {
      sendJson(response, 429, { error: "limited" });
      return;
    }
    await pause(completeAt - performance.now());
    sendJson(response, 200, { model, bytes: this.#weights.bytesPerModel });
  }

  #limit(limit: RateLimit, amount: number): void {
    if (!limit.take(amount, performance.now())) {
      this.#operations.limited += 1;
      throw new Refusal(429, "limited");
    }
  }

  #operation(run: (body: unknown) => Promise<object>) {
    return (request: IncomingMessage, response: ServerResponse): void => {
      void this.#answer(run, request, response);
    };
  }

  #control(run: (body: unknown) => object) {
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

  async #answer(
    run: (body: unknown) => Promise<object>,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const body = await readJson(request);
      await pause(this.#faults.delayMs);
      this.#checkOutage(request.url ?? "");
      const result = await run(body);
      if (run === this.#commit && this.#loses()) {
        response.destroy();
        return;
      }
      const conflict = "kind" in result && result.kind === "conflict";
      sendJson(response, conflict ? 409 : 200, result);
    } catch (error) {
      const status = error instanceof Refusal ? error.status : 400;
      sendJson(response, status, { error: String(error) });
    }
  }

  #checkOutage(path: string): void {
    const { down, downPaths } = this.#faults;
    if (down || downPaths.includes(path)) {
      throw new Refusal(503, "down");
    }
  }

  #loses(): boolean {
    this.#lostCredit += this.#faults.lostAnswers;
    if (this.#lostCredit < 1) {
      return false;
    }
    this.#lostCredit -= 1;
    return true;
  }
}

/** An operation that was refused before it took effect. */
class Refusal extends Error {
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

async function pause(milliseconds: number): Promise<void> {
  if (milliseconds > 0) {
    await new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}
