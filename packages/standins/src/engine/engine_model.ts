import {
  estimateTokens,
  prefixDigests,
  tokensPerBlock,
} from "@lavenderferry/policy";
import { PrefixCache } from "./prefix_cache.ts";
import { outputTokensOf } from "./token_text.ts";

/** Sizes and speeds of a stand-in engine. */
export interface EngineSizes {
  /** Capacity of the KV cache in tokens. */
  readonly memoryTokens: number;
  /** Capacity of the prefix cache in tokens. */
  readonly cacheTokens: number;
  /** Maximum size of the running batch, in generations. */
  readonly maxRunning: number;
  /** Maximum length of the waiting queue, in generations. */
  readonly maxWaiting: number;
  /** Fixed cost of a step in milliseconds. */
  readonly stepMs: number;
  /** Milliseconds that one decoded token adds to its step. */
  readonly decodeMs: number;
  /** Milliseconds that one prompt token adds to its step. */
  readonly prefillMs: number;
  /** Maximum number of prompt tokens computed in one step. */
  readonly prefillTokens: number;
}

/** Default sizes, small enough that the KV cache fills up in tests. */
export const defaultEngineSizes: EngineSizes = {
  memoryTokens: 8_000,
  cacheTokens: 4_000,
  maxRunning: 64,
  maxWaiting: 256,
  stepMs: 8,
  decodeMs: 0.25,
  prefillMs: 0.02,
  prefillTokens: 512,
};

/** Parameters of a generation. */
export interface GenerationRequest {
  readonly id: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** A higher value is scheduled first. */
  readonly priority: number;
}

/** Progress of one generation in the engine. */
export interface EngineGeneration {
  readonly request: GenerationRequest;
  readonly promptTokens: number;
  /** Output tokens after which the generation finishes. */
  readonly outputTokens: number;
  /** Position in the order of arrival. */
  readonly arrivalIndex: number;
  /** Prompt tokens found in the prefix cache at the last start. */
  cachedTokens: number;
  /** Tokens to compute before the next output token can be decoded. */
  pendingPrefillTokens: number;
  /** Output tokens generated so far. */
  generatedTokens: number;
  preemptions: number;
  /** Computed tokens that preemptions discarded. */
  recomputedTokens: number;
  state: "waiting" | "running" | "finished" | "cancelled";
}

/** Result of one step. */
export interface EngineStep {
  /** Duration of the step in milliseconds. */
  readonly durationMs: number;
  /** Generations that gained one token. */
  readonly advanced: readonly EngineGeneration[];
  readonly finished: readonly EngineGeneration[];
}

/**
 * Models continuous batching with a KV cache of limited size. When the cache
 * is full, the last arrival of the lowest priority is preempted and later
 * recomputed from its start.
 */
export class EngineModel {
  readonly sizes: EngineSizes;
  readonly prefixCache: PrefixCache;
  readonly #waiting: EngineGeneration[] = [];
  readonly #running: EngineGeneration[] = [];
  #nextArrivalIndex = 0;
  preemptions = 0;
  /** Number of generations that finished. */
  finished = 0;

  constructor(sizes: EngineSizes) {
    this.sizes = sizes;
    this.prefixCache = new PrefixCache(sizes.cacheTokens);
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Tokens held in the KV cache. */
  get usedTokens(): number {
    return this.#running.reduce(
      (sum, generation) => sum + kvTokensOf(generation),
      0,
    );
  }

  /** Returns whether the prompt leaves space in an empty KV cache. */
  fits(request: GenerationRequest): boolean {
    return estimateTokens(request.prompt) < this.sizes.memoryTokens;
  }

  /** Adds a generation to the waiting queue. */
  add(request: GenerationRequest): EngineGeneration {
    const promptTokens = estimateTokens(request.prompt);
    const availableTokens = this.sizes.memoryTokens - promptTokens;
    const generation: EngineGeneration = {
      request,
      promptTokens,
      outputTokens: Math.min(
        outputTokensOf(request.prompt),
        request.maxTokens,
        availableTokens,
      ),
      arrivalIndex: this.#nextArrivalIndex++,
      cachedTokens: 0,
      pendingPrefillTokens: promptTokens,
      generatedTokens: 0,
      preemptions: 0,
      recomputedTokens: 0,
      state: "waiting",
    };
    this.#waiting.push(generation);
    return generation;
  }

  /** Cancels a generation and frees its KV cache, unless it has ended. */
  cancel(generation: EngineGeneration): void {
    if (generation.state === "waiting" || generation.state === "running") {
      remove(this.#waiting, generation);
      remove(this.#running, generation);
      generation.state = "cancelled";
    }
  }

  /** Admits waiting generations, then computes one step of the batch. */
  step(): EngineStep {
    this.#admit();
    const prefilledTokens = this.#prefill();
    const advanced = this.#decode();
    const finished = this.#finish();
    const { stepMs, decodeMs, prefillMs } = this.sizes;
    const durationMs = stepMs + advanced.length * decodeMs +
      prefilledTokens * prefillMs;
    return { durationMs, advanced, finished };
  }

  #admit(): void {
    this.#waiting.sort(bySchedulingOrder);
    let allocatedTokens = this.usedTokens;
    while (this.#running.length < this.sizes.maxRunning) {
      const candidate = this.#waiting[0];
      if (candidate === undefined) {
        return;
      }
      const neededTokens = candidate.promptTokens + candidate.generatedTokens;
      if (allocatedTokens + neededTokens > this.sizes.memoryTokens) {
        return;
      }
      this.#waiting.shift();
      this.#start(candidate);
      allocatedTokens += neededTokens;
    }
  }

  #start(generation: EngineGeneration): void {
    const digests = prefixDigests(generation.request.prompt);
    const matchedBlocks = this.prefixCache.countPrefixHits(digests);
    generation.cachedTokens = Math.min(
      matchedBlocks * tokensPerBlock,
      generation.promptTokens - 1,
    );
    generation.pendingPrefillTokens = generation.promptTokens +
      generation.generatedTokens -
      generation.cachedTokens;
    generation.state = "running";
    this.prefixCache.store(digests);
    this.#running.push(generation);
  }

  #prefill(): number {
    let budgetTokens = this.sizes.prefillTokens;
    for (const generation of this.#running) {
      const chunkTokens = Math.min(
        budgetTokens,
        generation.pendingPrefillTokens,
      );
      generation.pendingPrefillTokens -= chunkTokens;
      budgetTokens -= chunkTokens;
    }
    return this.sizes.prefillTokens - budgetTokens;
  }

  #decode(): EngineGeneration[] {
    const decoding = this.#running.filter((generation) =>
      generation.pendingPrefillTokens === 0
    );
    let availableTokens = this.sizes.memoryTokens - this.usedTokens -
      decoding.length;
    for (const victim of [...this.#running].sort(bySchedulingOrder).reverse()) {
      if (availableTokens >= 0) {
        break;
      }
      availableTokens += kvTokensOf(victim) +
        (victim.pendingPrefillTokens === 0 ? 1 : 0);
      this.#preempt(victim);
    }
    const advanced = decoding.filter((generation) =>
      generation.state === "running"
    );
    for (const generation of advanced) {
      generation.generatedTokens += 1;
    }
    return advanced;
  }

  #preempt(generation: EngineGeneration): void {
    remove(this.#running, generation);
    generation.state = "waiting";
    generation.preemptions += 1;
    generation.recomputedTokens += kvTokensOf(generation) -
      generation.pendingPrefillTokens;
    this.preemptions += 1;
    this.#waiting.push(generation);
  }

  #finish(): EngineGeneration[] {
    const finished = this.#running.filter((generation) =>
      generation.generatedTokens >= generation.outputTokens
    );
    for (const generation of finished) {
      remove(this.#running, generation);
      generation.state = "finished";
      this.finished += 1;
    }
    return finished;
  }
}

function kvTokensOf(generation: EngineGeneration): number {
  return generation.promptTokens + generation.generatedTokens;
}

function bySchedulingOrder(a: EngineGeneration, b: EngineGeneration): number {
  return b.request.priority - a.request.priority ||
    a.arrivalIndex - b.arrivalIndex;
}

function remove<Item>(items: Item[], item: Item): void {
  const index = items.indexOf(item);
  if (index >= 0) {
    items.splice(index, 1);
  }
}
