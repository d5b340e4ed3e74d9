import type { Json, ScanOptions, Write } from "./table.ts";

/** What a client asks of a platform. */
export type Operation =
  | { readonly kind: "read"; readonly keys: readonly string[] }
  | {
    readonly kind: "scan";
    readonly prefix: string;
    readonly options: ScanOptions;
  }
  | {
    readonly kind: "changes";
    readonly prefix: string;
    /** Version of the last answer; `null` asks for all rows. */
    readonly after: number | null;
    /** Milliseconds that the answer may wait for a change. */
    readonly waitMs: number;
  }
  | { readonly kind: "commit"; readonly writes: readonly Write[] }
  | { readonly kind: "list_vms" }
  | {
    readonly kind: "put_object";
    readonly key: string;
    readonly value: Json;
  }
  | { readonly kind: "get_object"; readonly key: string };

/** What a platform answered; 409 stands for a condition that did not hold. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** How operations reach one kind of platform. */
export interface Transport {
  /** Sends one operation, once; rejects when no answer came. */
  send(operation: Operation, signal: AbortSignal): Promise<Reply>;
  /** Closes all connections. */
  close(): Promise<void>;
}
