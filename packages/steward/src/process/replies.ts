import { randomUUID } from "node:crypto";
import type { Failure } from "@lavenderferry/errors";

interface Waiter {
  readonly resolve: (value: unknown) => void;
  readonly reject: (failure: Failure) => void;
}

/** Requests from outside that wait for an effect to answer them. */
export class Replies {
  readonly #waiting = new Map<string, Waiter>();

  /** Registers a waiter; `send` gets the id that the answer names. */
  wait<Value>(send: (replyId: string) => void): Promise<Value> {
    const replyId = randomUUID();
    return new Promise<Value>((resolve, reject) => {
      this.#waiting.set(replyId, {
        resolve: resolve as (value: unknown) => void,
        reject,
      });
      send(replyId);
    });
  }

  /** Answers the waiter. */
  resolve(replyId: string, value: unknown): void {
    this.#waiting.get(replyId)?.resolve(value);
    this.#waiting.delete(replyId);
  }

  /** Fails the waiter. */
  reject(replyId: string, failure: Failure): void {
    this.#waiting.get(replyId)?.reject(failure);
    this.#waiting.delete(replyId);
  }
}
