import { request } from "undici";
import { z } from "zod";

/** Schema of an order, which states the whole desired state of an engine. */
export const orderSchema = z.object({
  /** Fencing token of the lease under which the order was issued. */
  fence: z.number(),
  models: z.array(z.string()),
  adapters: z.array(z.string()).default([]),
  role: z.enum(["mixed", "prefill", "decode"]).default("mixed"),
});

/** The desired models, adapters and role of an engine. */
export type EngineOrder = Readonly<z.output<typeof orderSchema>>;

/** Options of an engine's orders. */
export interface EngineOrdersOptions {
  /** Models that are loaded from the start. */
  readonly models: readonly string[];
  /** Whether orders with a fence below the current one are refused. */
  readonly checksFence: boolean;
  /** Base URL of the weight store; without it, models load at once. */
  readonly weightStoreUrl?: string | undefined;
}

/** An order and whether it was accepted. */
export interface ReceivedOrder extends EngineOrder {
  readonly accepted: boolean;
}

const retryDelayMs = 200;
const maxReceivedOrders = 256;

/**
 * Applies the last accepted order: loads its models and adapters and unloads
 * all others.
 */
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

  /** Models of the current order that have been loaded. */
  get models(): readonly string[] {
    return this.#order.models.filter((modelName) =>
      this.#loaded.has(modelName)
    );
  }

  /** The last 256 received orders, oldest first. */
  get received(): readonly ReceivedOrder[] {
    return this.#received;
  }

  /** Part of the load report that describes the current order. */
  get report(): object {
    const { fence, adapters, role } = this.#order;
    return {
      fence,
      role,
      models: this.models,
      adapters: adapters.filter((adapter) => this.#loaded.has(adapter)),
      loading: assetsOf(this.#order).filter((asset) =>
        !this.#loaded.has(asset)
      ),
    };
  }

  /** Applies an order; returns `false` when its fence is refused as stale. */
  accept(order: EngineOrder): boolean {
    const stale = order.fence < this.#order.fence;
    const accepted = !stale || !this.#options.checksFence;
    this.#received.push({ ...order, accepted });
    if (this.#received.length > maxReceivedOrders) {
      this.#received.shift();
    }
    if (!accepted) {
      return false;
    }
    this.#order = order;
    const desiredAssets = assetsOf(order);
    for (const asset of this.#loaded) {
      if (!desiredAssets.includes(asset)) {
        this.#loaded.delete(asset);
      }
    }
    for (const asset of desiredAssets) {
      void this.#load(asset, order);
    }
    return true;
  }

  async #load(asset: string, order: EngineOrder): Promise<void> {
    const { weightStoreUrl } = this.#options;
    while (this.#order === order && !this.#loaded.has(asset)) {
      const loaded = weightStoreUrl === undefined ||
        await readWeights(weightStoreUrl, asset);
      if (loaded && this.#order === order) {
        this.#loaded.add(asset);
      }
      if (!loaded) {
        await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
      }
    }
  }
}

function assetsOf({ models, adapters }: EngineOrder): readonly string[] {
  return [...models, ...adapters];
}

async function readWeights(
  storeUrl: string,
  asset: string,
): Promise<boolean> {
  try {
    const path = `/v1/weights/${encodeURIComponent(asset)}`;
    const response = await request(`${storeUrl}${path}`);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
