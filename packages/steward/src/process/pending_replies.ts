import { randomUUID } from "node:crypto";

/** Requests that wait for a reply from an effect. */
export class PendingReplies {
  readonly #resolvers = new Map<string, (value: unknown) => void>();

  /** Calls `send` with a new id and waits until that id is resolved. */
  wait<Value>(send: (replyId: string) => void): Promise<Value> {
    const replyId = randomUUID();
    return new Promise<Value>((resolve) => {
      this.#resolvers.set(replyId, resolve as (value: unknown) => void);
      send(replyId);
    });
  }

  /** Resolves the request with that id; unknown ids are ignored. */
  resolve(replyId: string, value: unknown): void {
    this.#resolvers.get(replyId)?.(value);
    this.#resolvers.delete(replyId);
  }
}
