import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";
import { request as send } from "undici";
import { z } from "zod";
import type { ServiceRun } from "../platform/service_runs.ts";
import { ServiceRuns, serviceRunSchema } from "../platform/service_runs.ts";
import { listen, sendJson, tryReadJson } from "../util/http_server.ts";

/** Options of a stand-in service. */
export interface ServiceOptions {
  readonly ip: string;
  readonly port: number;
  /** Pool whose processes share the recorded runs. */
  readonly pool: string;
  /** Milliseconds between the record of a run and the answer. */
  readonly workMs: number;
  /** Base URL of the platform; without it, runs stay in this process. */
  readonly platformUrl: string | undefined;
}

const callSchema = z.object({ slot: z.string(), by: z.string() });
const runsSchema = z.object({ runs: z.array(serviceRunSchema) });

/** Non-idempotent calls; each run of one is recorded. */
const calls = ["bookings", "confirmations"] as const;

/** Serves bookings, confirmations and the status of slots over HTTP. */
export class ServiceServer {
  readonly #options: ServiceOptions;
  /** The runs of this process. */
  readonly #localRuns = new ServiceRuns();
  #server: Server | undefined;
  #draining = false;

  constructor(options: ServiceOptions) {
    this.#options = options;
  }

  /** Starts to serve and returns the port. */
  async start(): Promise<number> {
    const application = polka();
    for (const call of calls) {
      application.post(`/${call}`, (request, response) => {
        void this.#handleCall(call, request, response);
      });
    }
    application
      .get("/slots/:slot", (request, response) => {
        void this.#sendSlot(String(request.params["slot"]), response);
      })
      .get("/runs", (_request, response) => {
        sendJson(response, 200, {
          runs: this.#localRuns.listByPool(undefined),
        });
      });
    const { ip, port } = this.#options;
    const listening = await listen(application, ip, port);
    this.#server = listening.server;
    return listening.port;
  }

  /** Refuses new calls; resolves once the running calls have been answered. */
  async drain(): Promise<void> {
    this.#draining = true;
    const server = this.#server;
    if (server !== undefined) {
      const closed = new Promise((resolve) => server.close(resolve));
      server.closeIdleConnections();
      await closed;
    }
  }

  async #handleCall(
    call: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#draining) {
      refuse(response, 503, "draining");
      return;
    }
    const parsed = callSchema.safeParse(await tryReadJson(request));
    if (!parsed.success) {
      refuse(response, 400, "bad_request");
      return;
    }
    const { pool, workMs } = this.#options;
    const key = String(request.headers["idempotency-key"] ?? "");
    if (!await this.#recordRun({ pool, call, key, ...parsed.data })) {
      refuse(response, 503, "store_unavailable");
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, workMs));
    sendJson(response, 201, { slot: parsed.data.slot, booked: true });
  }

  async #sendSlot(slot: string, response: ServerResponse): Promise<void> {
    const runs = (await this.#readPoolRuns()).filter((run) =>
      run.slot === slot
    );
    const bookings = runs.filter((run) => run.call === "bookings");
    sendJson(response, 200, {
      slot,
      taken: bookings.length,
      by: bookings[0]?.by,
      confirmed: runs.length - bookings.length,
      keys: runs.map((run) => run.key),
    });
  }

  /**
   * Records a run; returns `false` when the platform is unreachable. A call
   * runs only if its run was recorded.
   */
  async #recordRun(run: ServiceRun): Promise<boolean> {
    const { platformUrl } = this.#options;
    if (platformUrl !== undefined) {
      try {
        const response = await send(`${platformUrl}/control/runs`, {
          method: "PUT",
          body: JSON.stringify(run),
        });
        await response.body.dump();
      } catch {
        return false;
      }
    }
    this.#localRuns.add(run);
    return true;
  }

  async #readPoolRuns(): Promise<readonly ServiceRun[]> {
    const { platformUrl, pool } = this.#options;
    if (platformUrl === undefined) {
      return this.#localRuns.listByPool(undefined);
    }
    const response = await send(`${platformUrl}/control/runs?pool=${pool}`);
    return runsSchema.parse(await response.body.json()).runs;
  }
}

function refuse(
  response: ServerResponse,
  status: number,
  reason: string,
): void {
  response.setHeader("not-run", "true");
  sendJson(response, status, { error: reason });
}
