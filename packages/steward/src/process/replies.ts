import { randomUUID } from "node:crypto";

/** Requests from outside that wait for an effect to answer them. */
export class Replies {
  readonly #waiting = new Map<string, (value: unknown) => void>();

  /** Registers a waiter; `send` gets the id that the answer names. */
  wait<Value>(send: (replyId: string) => void): Promise<Value> {
    const replyId = randomUUID();
    return new Promise<Value>((resolve) => {
      this.#waiting.set(replyId, resolve as (value: unknown) => void);
      send(replyId);
    });
  }

  /** Answers the waiter. */
  resolve(replyId: string, value: unknown): void {
    this.#waiting.get(replyId)?.(value);
    this.#waiting.delete(replyId);
  }
}
