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
/** Each new output lowers the weight of all former ones by this factor. */
const decay = 0.995;
/** Outputs that the more general distribution weighs like. */
const generalWeight = 8;
const priorWeight = 2;

/** What a distribution of output lengths is kept for. */
export interface LengthKey {
  readonly workspace: string;
  readonly workClass: string;
  readonly model: string;
}

/** Counts with the tail that was derived from them. */
interface Counted {
  readonly counts: Float32Array;
  /** `null` when the counts changed since. */
  tail: Tail | null;
  tailAge: number;
}

const maxTailAge = 16;

/**
 * Learns decaying distributions of output lengths per workspace, class and
 * model. Few outputs lean on the class, the class on its model's outputs,
 * these on a heavy-tailed prior. Memory is bounded by dropping the workspaces
 * that were not used for longest.
 */
export class OutputLengths {
  readonly #workspaces = new Map<string, Counted>();
  readonly #classes = new Map<string, Counted>();
  readonly #models = new Map<string, Counted>();
  readonly #peers = new Map<string, readonly LengthSketch[]>();
  readonly #changed = new Map<string, LengthSketch>();

  /** Takes the length of a finished output. */
  learn(key: LengthKey, tokens: number): void {
    const bucket = bucketOf(tokens);
    const classKey = classKeyOf(key);
    add(
      entryOf(this.#workspaces, workspaceKeyOf(key), maxWorkspaceKeys),
      bucket,
    );
    const ofClass = entryOf(this.#classes, classKey, maxClassKeys);
    add(ofClass, bucket);
    add(entryOf(this.#models, key.model, maxClassKeys), bucket);
    const { workClass, model } = key;
    const counts = Array.from(ofClass.counts);
    this.#changed.set(classKey, { workClass, model, counts });
  }

  /** Returns the distribution for a key. */
  tailOf(key: LengthKey): Tail {
    const own = this.#workspaces.get(workspaceKeyOf(key));
    const general = this.#classTail(key);
    return own === undefined ? general : tailOf(own, general, generalWeight);
  }

  /** Takes a peer's counts by class in place of its former. */
  learnPeer(peer: string, sketches: readonly LengthSketch[]): void {
    const former = this.#peers.get(peer) ?? [];
    const next = new Map(
      former.map((each) => [`${each.workClass}/${each.model}`, each]),
    );
    for (const sketch of sketches) {
      if (sketch.counts.length === lengthBuckets) {
        next.set(`${sketch.workClass}/${sketch.model}`, sketch);
      }
    }
    this.#peers.set(peer, [...next.values()].slice(-maxClassKeys));
    const [oldest] = this.#peers.keys();
    if (this.#peers.size > maxPeers && oldest !== undefined) {
      this.#peers.delete(oldest);
    }
    for (const counted of this.#classes.values()) {
      counted.tail = null;
    }
  }

  /** Returns the own counts that changed since the last call. */
  takeChanged(): readonly LengthSketch[] {
    const changed = [...this.#changed.values()];
    this.#changed.clear();
    return changed;
  }

  /** Workspace distributions held. */
  get size(): number {
    return this.#workspaces.size;
  }

  #classTail(key: LengthKey): Tail {
    const counted = entryOf(this.#classes, classKeyOf(key), maxClassKeys);
    if (counted.tail !== null && counted.tailAge < maxTailAge) {
      return counted.tail;
    }
    const merged = this.#merged(counted.counts, key);
    const model = this.#models.get(key.model);
    const general = model === undefined
      ? priorTail
      : tailOf(model, priorTail, priorWeight);
    counted.tail = mixTail(merged, general, generalWeight);
    counted.tailAge = 0;
    return counted.tail;
  }

  #merged(own: Float32Array, key: LengthKey): Float32Array {
    const merged = Float32Array.from(own);
    for (const sketches of this.#peers.values()) {
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

function add(counted: Counted, bucket: number): void {
  const { counts } = counted;
  for (let index = 0; index < counts.length; index++) {
    counts[index] = (counts[index] ?? 0) * decay;
  }
  counts[bucket] = (counts[bucket] ?? 0) + 1;
  counted.tailAge += 1;
}

function tailOf(counted: Counted, general: Tail, weight: number): Tail {
  if (counted.tail === null || counted.tailAge >= maxTailAge) {
    counted.tail = mixTail(counted.counts, general, weight);
    counted.tailAge = 0;
  }
  return counted.tail;
}

/** Returns the entry of a key as the most recently used. */
function entryOf(
  entries: Map<string, Counted>,
  key: string,
  maxEntries: number,
): Counted {
  const counted = entries.get(key) ??
    { counts: new Float32Array(lengthBuckets), tail: null, tailAge: 0 };
  entries.delete(key);
  entries.set(key, counted);
  const [oldest] = entries.keys();
  if (entries.size > maxEntries && oldest !== undefined) {
    entries.delete(oldest);
  }
  return counted;
}

function classKeyOf({ workClass, model }: LengthKey): string {
  return `${workClass}/${model}`;
}

function workspaceKeyOf(key: LengthKey): string {
  return `${key.workspace}/${classKeyOf(key)}`;
}
