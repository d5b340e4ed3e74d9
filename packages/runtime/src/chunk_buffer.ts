const emptyBytes: Buffer = Buffer.alloc(0);

/** Bytes for which each chunk counts besides its own. */
const chunkCostBytes = 1_024;

/**
 * What it takes to receive a chunk, in bytes. A limit on the sum ends a sender of
 * tiny chunks long before their bytes add up.
 */
export function costOfChunk(chunk: Uint8Array): number {
  return chunk.length + chunkCostBytes;
}

/** Smallest block that is used again, in bytes. */
const minPooledBytes = 16_384;

/** Bytes of unused blocks that are kept. */
const maxPooledBytes = 4_194_304;

/** Unused blocks by their size, a power of two. */
const pool = new Map<number, Buffer[]>();
let pooledBytes = 0;

/**
 * Collects chunks in one block of memory. Chunks that are kept as they arrive
 * take an object each and the whole block that they were read into, so that
 * small ones need many times their size. Large blocks are used again, as
 * discarded ones take memory until they are collected.
 */
export class ChunkBuffer {
  #block = emptyBytes;
  #length = 0;
  #cost = 0;

  /** Sum of the costs of the chunks that were added. */
  get cost(): number {
    return this.#cost;
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that the collection takes. */
  get capacity(): number {
    return this.#block.length;
  }

  /** The bytes collected; valid until the next call of a method. */
  get bytes(): Buffer {
    return this.#block.subarray(0, this.#length);
  }

  /** Adds a copy of a chunk. */
  push(chunk: Uint8Array): void {
    this.#cost += costOfChunk(chunk);
    const length = this.#length + chunk.length;
    if (length > this.#block.length) {
      const block = acquireBlock(length);
      block.set(this.bytes);
      releaseBlock(this.#block);
      this.#block = block;
    }
    this.#block.set(chunk, this.#length);
    this.#length = length;
  }

  /** Removes all bytes and returns a copy of them. */
  take(): Buffer {
    const bytes = Buffer.from(this.bytes);
    this.clear();
    return bytes;
  }

  /** Removes all bytes. */
  clear(): void {
    releaseBlock(this.#block);
    this.#block = emptyBytes;
    this.#length = 0;
    this.#cost = 0;
  }
}

function acquireBlock(bytes: number): Buffer {
  const size = 2 ** Math.ceil(Math.log2(bytes));
  const block = pool.get(size)?.pop();
  if (block !== undefined) {
    pooledBytes -= size;
    return block;
  }
  // A slice of Node's own pool would keep the rest of it in memory.
  return Buffer.allocUnsafeSlow(size);
}

function releaseBlock(block: Buffer): void {
  const { length } = block;
  if (length < minPooledBytes || pooledBytes + length > maxPooledBytes) {
    return;
  }
  const blocks = pool.get(length) ?? [];
  pool.set(length, blocks);
  blocks.push(block);
  pooledBytes += length;
}

/**
 * Collects a body as text; throws once it costs more than `maxCost` bytes, which
 * ends the reading of its stream.
 */
export async function collectText(
  chunks: AsyncIterable<unknown>,
  maxCost: number,
): Promise<string> {
  const buffer = new ChunkBuffer();
  try {
    for await (const chunk of chunks) {
      buffer.push(chunk as Uint8Array);
      if (buffer.cost > maxCost) {
        throw new RangeError(`The body costs more than ${maxCost} bytes`);
      }
    }
    return buffer.bytes.toString();
  } finally {
    buffer.clear();
  }
}
