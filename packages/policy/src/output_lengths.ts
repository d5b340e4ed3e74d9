import type { LengthSketch } from "./dispatcher.ts";
import type { Tail } from "./length_distribution.ts";
import {
  bucketOf,
  lengthBuckets,
  mixTail,
  priorTail,
} from "./length_distribution.ts";

const maxWorkspaceKeys = 8_192;
const maxClassKeys = 1_024;
const maxPeers = 64;
/** Factor by which each new output decays the counts before it. */
const decayPerOutput = 0.995;
/** Weight of the more general distribution, in outputs. */
const generalTailWeight = 8;
/** Weight of the prior in a model's distribution, in outputs. */
const priorTailWeight = 2;

/** Identifies a distribution of output lengths. */
export interface LengthKey {
  readonly workspace: string;
  readonly workClass: string;
  readonly model: string;
}

/** Counts by bucket with the tail derived from them. */
interface LengthCounts {
  readonly counts: Float32Array;
  /** Cached tail; `null` if it has to be derived again. */
  tail: Tail | null;
  outputsSinceTail: number;
}

/** Outputs after which a cached tail is derived again. */
const maxOutputsSinceTail = 16;

/**
 * Learns decaying distributions of output lengths per workspace, class and
 * model. Each is mixed with the next more general one, which dominates while
 * there are few outputs: the workspace's with the class's, that with the
 * model's, and that with a heavy-tailed prior. Memory is bounded by evicting
 * the least recently updated workspaces.
 */
export class OutputLengths {
  readonly #workspaces = new Map<string, LengthCounts>();
  readonly #classes = new Map<string, LengthCounts>();
  readonly #models = new Map<string, LengthCounts>();
  readonly #sketchesByPeer = new Map<string, readonly LengthSketch[]>();
  readonly #changedSketches = new Map<string, LengthSketch>();

  /** Adds the length of a finished output. */
  learn(key: LengthKey, tokens: number): void {
    const bucket = bucketOf(tokens);
    const classKey = classKeyOf(key);
    countOutput(
      entryOf(this.#workspaces, workspaceKeyOf(key), maxWorkspaceKeys),
      bucket,
    );
    const classCounts = entryOf(this.#classes, classKey, maxClassKeys);
    countOutput(classCounts, bucket);
    countOutput(entryOf(this.#models, key.model, maxClassKeys), bucket);
    const { workClass, model } = key;
    const counts = Array.from(classCounts.counts);
    this.#changedSketches.delete(classKey);
    this.#changedSketches.set(classKey, { workClass, model, counts });
    const [oldest] = this.#changedSketches.keys();
    if (this.#changedSketches.size > maxClassKeys && oldest !== undefined) {
      this.#changedSketches.delete(oldest);
    }
  }

  /** Returns the distribution for a key. */
  tailOf(key: LengthKey): Tail {
    const workspaceCounts = this.#workspaces.get(workspaceKeyOf(key));
    const general = this.#classTailOf(key);
    return workspaceCounts === undefined
      ? general
      : tailOf(workspaceCounts, general, generalTailWeight);
  }

  /** Replaces a peer's counts for the given classes and models. */
  setPeerSketches(peer: string, sketches: readonly LengthSketch[]): void {
    const previous = this.#sketchesByPeer.get(peer) ?? [];
    const merged = new Map(
      previous.map((sketch) => [
        `${sketch.workClass}/${sketch.model}`,
        sketch,
      ]),
    );
    for (const sketch of sketches) {
      if (sketch.counts.length === lengthBuckets) {
        merged.set(`${sketch.workClass}/${sketch.model}`, sketch);
      }
    }
    this.#sketchesByPeer.set(peer, [...merged.values()].slice(-maxClassKeys));
    const [oldest] = this.#sketchesByPeer.keys();
    if (this.#sketchesByPeer.size > maxPeers && oldest !== undefined) {
      this.#sketchesByPeer.delete(oldest);
    }
    for (const lengthCounts of this.#classes.values()) {
      lengthCounts.tail = null;
    }
  }

  /** Returns this process's counts that changed since the last call. */
  takeChangedSketches(): readonly LengthSketch[] {
    const changed = [...this.#changedSketches.values()];
    this.#changedSketches.clear();
    return changed;
  }

  /** Number of workspace distributions held. */
  get size(): number {
    return this.#workspaces.size;
  }

  #classTailOf(key: LengthKey): Tail {
    const lengthCounts = entryOf(this.#classes, classKeyOf(key), maxClassKeys);
    if (
      lengthCounts.tail !== null &&
      lengthCounts.outputsSinceTail < maxOutputsSinceTail
    ) {
      return lengthCounts.tail;
    }
    const merged = this.#mergeWithPeers(lengthCounts.counts, key);
    const model = this.#models.get(key.model);
    const general = model === undefined
      ? priorTail
      : tailOf(model, priorTail, priorTailWeight);
    lengthCounts.tail = mixTail(merged, general, generalTailWeight);
    lengthCounts.outputsSinceTail = 0;
    return lengthCounts.tail;
  }

  #mergeWithPeers(ownCounts: Float32Array, key: LengthKey): Float32Array {
    const merged = Float32Array.from(ownCounts);
    for (const sketches of this.#sketchesByPeer.values()) {
      for (const { workClass, model, counts } of sketches) {
        if (workClass === key.workClass && model === key.model) {
          counts.forEach((count, bucket) => {
            merged[bucket] = (merged[bucket] ?? 0) + count;
          });
        }
      }
    }
    return merged;
  }
}

function countOutput(lengthCounts: LengthCounts, bucket: number): void {
  const { counts } = lengthCounts;
  for (let index = 0; index < counts.length; index++) {
    counts[index] = (counts[index] ?? 0) * decayPerOutput;
  }
  counts[bucket] = (counts[bucket] ?? 0) + 1;
  lengthCounts.outputsSinceTail += 1;
}

function tailOf(
  lengthCounts: LengthCounts,
  general: Tail,
  weight: number,
): Tail {
  if (
    lengthCounts.tail === null ||
    lengthCounts.outputsSinceTail >= maxOutputsSinceTail
  ) {
    lengthCounts.tail = mixTail(lengthCounts.counts, general, weight);
    lengthCounts.outputsSinceTail = 0;
  }
  return lengthCounts.tail;
}

/** Returns the entry of a key, marked as the most recently used. */
function entryOf(
  entries: Map<string, LengthCounts>,
  key: string,
  maxEntries: number,
): LengthCounts {
  const lengthCounts = entries.get(key) ??
    {
      counts: new Float32Array(lengthBuckets),
      tail: null,
      outputsSinceTail: 0,
    };
  entries.delete(key);
  entries.set(key, lengthCounts);
  const [oldest] = entries.keys();
  if (entries.size > maxEntries && oldest !== undefined) {
    entries.delete(oldest);
  }
  return lengthCounts;
}

function classKeyOf({ workClass, model }: LengthKey): string {
  return `${workClass}/${model}`;
}

function workspaceKeyOf(key: LengthKey): string {
  return `${key.workspace}/${classKeyOf(key)}`;
}
