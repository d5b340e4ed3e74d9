import { request } from "undici";
import { z } from "zod";

/** Schema of an order, which states everything that is wanted. */
export const orderSchema = z.object({
  /** Fence of the lease under which the order is given. */
  fence: z.number(),
  models: z.array(z.string()),
  adapters: z.array(z.string()).default([]),
  role: z.enum(["mixed", "prefill", "decode"]).default("mixed"),
});

/** An order to an engine. */
export type EngineOrder = Readonly<z.output<typeof orderSchema>>;

/** What the orders of an engine are made from. */
export interface EngineOrdersOptions {
  readonly models: readonly string[];
  readonly checksFence: boolean;
  /** Base address of the weight store; without it models load at once. */
  readonly weights?: string | undefined;
}

/** An order together with what became of it. */
export interface ReceivedOrder extends EngineOrder {
  readonly accepted: boolean;
}

const retryMs = 200;
const maxReceived = 256;

/** Carries out the newest order: loads what it adds, drops what it omits. */
export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  readonly #loaded: Set<string>;
  readonly #received: ReceivedOrder[] = [];
  #order: EngineOrder;

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
    this.#loaded = new Set(options.models);
    this.#order = orderSchema.parse({ fence: 0, models: options.models });
  }

  /** Models that can be used now. */
  get models(): readonly string[] {
    return this.#order.models.filter((each) => this.#loaded.has(each));
  }

  /** Every order that was received, oldest first. */
  get received(): readonly ReceivedOrder[] {
    return this.#received;
  }

  /** What the engine reports about its orders. */
  get report(): object {
    const { fence, adapters, role } = this.#order;
    return {
      fence,
      role,
      models: this.models,
      adapters: adapters.filter((each) => this.#loaded.has(each)),
      loading: assetsOf(this.#order).filter((each) => !this.#loaded.has(each)),
    };
  }

  /** Takes an order; returns whether its fence was accepted. */
  accept(order: EngineOrder): boolean {
    const old = order.fence < this.#order.fence;
    const accepted = !old || !this.#options.checksFence;
    this.#received.push({ ...order, accepted });
    if (this.#received.length > maxReceived) {
      this.#received.shift();
    }
    if (!accepted) {
      return false;
    }
    this.#order = order;
    const wanted = assetsOf(order);
    for (const asset of this.#loaded) {
      if (!wanted.includes(asset)) {
        this.#loaded.delete(asset);
      }
    }
    for (const asset of wanted) {
      void this.#load(asset, order);
    }
    return true;
  }

  async #load(asset: string, order: EngineOrder): Promise<void> {
    const { weights } = this.#options;
    while (this.#order === order && !this.#loaded.has(asset)) {
      const read = weights === undefined || await readWeights(weights, asset);
      if (read && this.#order === order) {
        this.#loaded.add(asset);
      }
      if (!read) {
        await new Promise((resolve) => setTimeout(resolve, retryMs));
      }
    }
  }
}

function assetsOf({ models, adapters }: EngineOrder): readonly string[] {
  return [...models, ...adapters];
}

async function readWeights(store: string, asset: string): Promise<boolean> {
  try {
    const path = `/v1/weights/${encodeURIComponent(asset)}`;
    const response = await request(`${store}${path}`);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
