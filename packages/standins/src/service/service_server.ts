import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";
import { request as send } from "undici";
import { z } from "zod";
import type { ServiceRun } from "../platform/service_runs.ts";
import { ServiceRuns, serviceRunSchema } from "../platform/service_runs.ts";
import { listen, readJsonOrNothing, sendJson } from "../util/http_server.ts";

/** What a stand-in service is made from. */
export interface ServiceOptions {
  readonly ip: string;
  readonly port: number;
  /** Name of the pool, whose processes share the runs. */
  readonly pool: string;
  /** Milliseconds that a call takes after its run is recorded. */
  readonly workMs: number;
  /** Base address of the platform that keeps the runs; without it they are
   * kept in this process. */
  readonly platform: string | undefined;
}

const callSchema = z.object({ slot: z.string(), by: z.string() });
const runsSchema = z.object({ runs: z.array(serviceRunSchema) });

/** Calls that may not be repeated; each one that runs is recorded. */
const calls = ["bookings", "confirmations"] as const;

/** Serves bookings, confirmations and the status of slots over HTTP. */
export class ServiceServer {
  readonly #options: ServiceOptions;
  /** The runs of this process alone. */
  readonly #own = new ServiceRuns();
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
        void this.#run(call, request, response);
      });
    }
    application
      .get("/slots/:slot", (request, response) => {
        void this.#showSlot(String(request.params["slot"]), response);
      })
      .get("/runs", (_request, response) => {
        sendJson(response, 200, { runs: this.#own.of(undefined) });
      });
    const { ip, port } = this.#options;
    const listening = await listen(application, ip, port);
    this.#server = listening.server;
    return listening.port;
  }

  /** Refuses new calls; resolves once the running ones have ended. */
  async drain(): Promise<void> {
    this.#draining = true;
    const server = this.#server;
    if (server !== undefined) {
      const closed = new Promise((resolve) => server.close(resolve));
      server.closeIdleConnections();
      await closed;
    }
  }

  async #run(
    call: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#draining) {
      refuse(response, 503, "draining");
      return;
    }
    const parsed = callSchema.safeParse(await readJsonOrNothing(request));
    if (!parsed.success) {
      refuse(response, 400, "bad_request");
      return;
    }
    const { pool, workMs } = this.#options;
    const key = String(request.headers["idempotency-key"] ?? "");
    if (!await this.#record({ pool, call, key, ...parsed.data })) {
      refuse(response, 503, "store_unavailable");
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, workMs));
    sendJson(response, 201, { slot: parsed.data.slot, booked: true });
  }

  async #showSlot(slot: string, response: ServerResponse): Promise<void> {
    const runs = (await this.#runs()).filter((run) => run.slot === slot);
    const taken = runs.filter((run) => run.call === "bookings");
    sendJson(response, 200, {
      slot,
      taken: taken.length,
      by: taken[0]?.by,
      confirmed: runs.length - taken.length,
      keys: runs.map((run) => run.key),
    });
  }

  /** Returns whether the run was recorded; the call runs only then. */
  async #record(run: ServiceRun): Promise<boolean> {
    const { platform } = this.#options;
    if (platform !== undefined) {
      try {
        const response = await send(`${platform}/control/runs`, {
          method: "PUT",
          body: JSON.stringify(run),
        });
        await response.body.dump();
      } catch {
        return false;
      }
    }
    this.#own.add(run);
    return true;
  }

  async #runs(): Promise<readonly ServiceRun[]> {
    const { platform, pool } = this.#options;
    if (platform === undefined) {
      return this.#own.of(undefined);
    }
    const response = await send(`${platform}/control/runs?pool=${pool}`);
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
