import type { IncomingMessage, ServerResponse } from "node:http";
import { ChunkBuffer, headBytesOf } from "@lavenderferry/runtime";
import type { ByteAccount, ByteBudget } from "../memory/byte_budget.ts";

/** Phases of a request that is held in memory, in order. */
export const heldPhases = {
  /** Its body is incomplete, and it has no answer yet. */
  receiving: "receiving",
  /** It was dispatched and has no complete answer yet. */
  dispatched: "dispatched",
  /** Its answer has ended, but more of its body may follow. */
  answered: "answered",
} as const;

/** Phase of a request that is held in memory; a key of `heldPhases`. */
export type HeldPhase = keyof typeof heldPhases;

/** A request to hold, and what is done if the process holds too much. */
export interface HeldRequestOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly budget: ByteBudget;
  /** Whether the request was sent to an upstream. */
  readonly hasStarted: () => boolean;
  /** Ends the request, which holds most. */
  readonly end: (phase: HeldPhase) => void;
}

/**
 * A caller's request with its body, whose bytes are held to account until the
 * request is complete and its answer has ended.
 */
export class HeldRequest {
  readonly #response: ServerResponse;
  readonly #account: ByteAccount;
  readonly #body = new ChunkBuffer();
  /** Bytes held besides those of the body. */
  #otherBytes: number;
  #isDispatched = false;

  constructor(
    { request, response, budget, hasStarted, end }: HeldRequestOptions,
  ) {
    this.#response = response;
    this.#otherBytes = headBytesOf(request);
    this.#account = budget.open(() => {
      const { phase } = this;
      this.#body.clear();
      end(phase);
    }, () => this.#isDispatched && (this.phase === "answered" || hasStarted()));
    const release = () => {
      if (request.complete || request.socket.destroyed) {
        this.#account.close();
      }
    };
    response.once("close", release);
    request.once("close", () => {
      if (this.phase === "answered") {
        release();
      }
    });
    this.#account.set(this.#otherBytes);
  }

  get phase(): HeldPhase {
    if (this.#response.writableEnded || this.#response.destroyed) {
      return "answered";
    }
    return this.#isDispatched ? "dispatched" : "receiving";
  }

  /** Adds a chunk of the body. */
  push(chunk: Buffer): void {
    this.#body.push(chunk);
    this.#update();
  }

  /** Takes the complete body, as the request is dispatched. */
  take(): Buffer {
    this.#isDispatched = true;
    this.#otherBytes += this.#body.capacity;
    const body = this.#body.take();
    this.#update();
    return body;
  }

  /** Drops what has been received of the body. */
  dropBody(): void {
    this.#body.clear();
    this.#update();
  }

  /** Adds to the bytes that are held besides the body. */
  addBytes(bytes: number): void {
    this.#otherBytes += bytes;
    this.#update();
  }

  #update(): void {
    this.#account.set(this.#otherBytes + this.#body.capacity);
  }
}
