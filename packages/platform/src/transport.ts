import type { Json, ScanOptions, Write } from "./table.ts";

/** A request of a client to a platform, with versions as the table counts them. */
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
    /** Version of the last answer; `null` requests all rows. */
    readonly after: number | null;
    /** Milliseconds for which the platform may wait for a change. */
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

/** A platform's answer; status 409 means a conflict of a commit. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
  /**
   * Era of the platform's table, which rises each time that the table is
   * restored from an older copy. `undefined`: the platform does not say.
   */
  readonly era?: number | undefined;
}

/** Protocol by which operations reach a platform. */
export interface Transport {
  /**
   * Sends an operation once; rejects when there is no answer. `onBytes` is called
   * while bytes of the answer arrive, which puts off the time-out.
   */
  send(
    operation: Operation,
    signal: AbortSignal,
    onBytes: () => void,
  ): Promise<Reply>;
  /** Closes all connections. */
  close(): Promise<void>;
}
