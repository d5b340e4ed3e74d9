import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerOptions,
} from "node:http";
import { createServer } from "node:http";
import { GuardedConnection } from "./guarded_connection.ts";
import {
  connectionOf,
  GuardedRequest,
  GuardedResponse,
} from "./guarded_messages.ts";
import { announce } from "./process.ts";

/** Why a guard closes a connection or does not accept it. */
export const closeReasons = {
  /** The socket had as many connections as it may, and this one gave way. */
  tooManyConnections: "too_many_connections",
  /** More was sent behind a request in progress than is kept. */
  pipelined: "pipelined",
  /** The body consists of very small chunks. */
  smallChunks: "small_chunks",
  /** More of a body was sent after its answer than is discarded. */
  bodyNotRead: "body_not_read",
  /** Empty lines were sent in place of a request. */
  emptyLines: "empty_lines",
  /** Neither the request nor the answer progressed for long. */
  stalled: "stalled",
  /** The process held too much, and this connection most of it. */
  memory: "memory",
} as const;

/** A value of `closeReasons`. */
export type CloseReason = (typeof closeReasons)[keyof typeof closeReasons];

/** An account of the bytes that one connection holds. */
export interface HeldBytesAccount {
  readonly set: (bytes: number) => void;
  readonly close: () => void;
}

/** Limits of the connections of one server. */
export interface ConnectionLimits {
  /** Connections that are open at a time. */
  readonly connections: number;
  /** Bytes that are kept behind a request in progress, for each connection. */
  readonly pipelinedBytes: number;
  /** Bytes of a body that are discarded after its answer. */
  readonly discardedBytes: number;
  /** Milliseconds without progress of a request's body or of an answer. */
  readonly stalledMs: number;
}

/** Limits that no client reaches that sends one request at a time. */
export const defaultConnectionLimits: ConnectionLimits = {
  connections: 1_024,
  pipelinedBytes: 131_072,
  discardedBytes: 4_194_304,
  stalledMs: 60_000,
};

/** Limits of servers for probes, queries and scrapes, which have no bodies. */
export const sideConnectionLimits: ConnectionLimits = {
  ...defaultConnectionLimits,
  connections: 128,
  discardedBytes: 65_536,
};

/** Dependencies of a guard. */
export interface ConnectionGuardOptions {
  /** Name of the server in log lines. */
  readonly server: string;
  readonly limits: ConnectionLimits;
  /** Counts a connection that was closed or not accepted. */
  readonly onClosed?: (reason: CloseReason) => void;
  /** Writes a log line; by default to standard output. */
  readonly log?: typeof announce;
  /**
   * Opens an account of what a connection holds; `end` closes it. `hasStarted`
   * tells whether a request is in progress on it.
   */
  readonly openAccount?: (
    end: () => void,
    hasStarted: () => boolean,
  ) => HeldBytesAccount;
  /** Whether the handler of requests accounts for them; by default it does not. */
  readonly handlerAccounts?: boolean;
}

/** Least milliseconds between two log lines with the same reason. */
const logPeriodMs = 5_000;

/** Milliseconds between two checks for connections without progress. */
const stallCheckMs = 1_000;

/**
 * Bounds what clients can make a server hold and do. The next request of a
 * connection is parsed once the answer before it has been written, and
 * connections take turns within each iteration of the event loop.
 */
export class ConnectionGuard {
  readonly limits: ConnectionLimits;
  readonly openAccount: ConnectionGuardOptions["openAccount"];
  readonly handlerAccounts: boolean;
  readonly #options: ConnectionGuardOptions;
  readonly #connections = new Set<GuardedConnection>();
  readonly #logs = new Map<CloseReason, { at: number; unlogged: number }>();
  #stallTimer: NodeJS.Timeout | null = null;

  constructor(options: ConnectionGuardOptions) {
    this.#options = options;
    this.limits = options.limits;
    this.openAccount = options.openAccount;
    this.handlerAccounts = options.handlerAccounts ?? false;
  }

  /** Creates a server whose connections are guarded. */
  createServer(options: ServerOptions, listener: RequestListener): Server {
    const server = createServer(
      {
        ...options,
        IncomingMessage: GuardedRequest as typeof IncomingMessage,
        ServerResponse: GuardedResponse,
      },
      (request, response) => {
        if (connectionOf(request.socket)?.isCurrent(response) !== false) {
          listener(request, response);
        }
      },
    );
    server.on("connection", (socket) => {
      if (this.#connections.size >= this.limits.connections) {
        this.#makeRoom();
      }
      const connection = new GuardedConnection(socket, this);
      if (this.#connections.size >= this.limits.connections) {
        connection.close(closeReasons.tooManyConnections);
        return;
      }
      this.#connections.add(connection);
      this.#stallTimer ??= setInterval(() => this.#closeStalled(), stallCheckMs)
        .unref();
      socket.on("close", () => this.#remove(connection));
    });
    return server;
  }

  /** Counts a connection that was closed, and logs it now and then. */
  report(reason: CloseReason): void {
    this.#options.onClosed?.(reason);
    const now = performance.now();
    const log = this.#logs.get(reason) ?? { at: -Infinity, unlogged: 0 };
    this.#logs.set(reason, log);
    log.unlogged += 1;
    if (now - log.at >= logPeriodMs) {
      const { server, log: write = announce } = this.#options;
      write("connection_closed", { server, reason, count: log.unlogged });
      log.at = now;
      log.unlogged = 0;
    }
  }

  /**
   * Closes the connection that has been without a request for longest; one that
   * never had a request goes first. If all have one, a connection whose request
   * is incomplete, and thus not dispatched, is closed: one that is answered
   * already, or else the slowest. Otherwise clients that only open connections or
   * send bodies slowly would keep out all others.
   */
  #makeRoom(): void {
    const now = performance.now();
    const all = [...this.#connections];
    const last = findFirst(
      all.filter(({ isIdle }) => isIdle),
      (one, other) => one.yieldsBefore(other),
    ) ?? findFirst(
      all.filter(({ isReceiving }) => isReceiving),
      (one, other) => one.progressesLess(other, now),
    );
    if (last !== undefined) {
      this.#connections.delete(last);
      last.close(closeReasons.tooManyConnections);
    }
  }

  #remove(connection: GuardedConnection): void {
    this.#connections.delete(connection);
    if (this.#connections.size === 0 && this.#stallTimer !== null) {
      clearInterval(this.#stallTimer);
      this.#stallTimer = null;
    }
  }

  #closeStalled(): void {
    const now = performance.now();
    for (const connection of this.#connections) {
      connection.closeIfStalled(now);
    }
  }
}

/** Returns the item that precedes all others. */
function findFirst<T>(
  items: readonly T[],
  precedes: (one: T, other: T) => boolean,
): T | undefined {
  const [first, ...others] = items;
  return first === undefined ? undefined : others.reduce(
    (first, other) => precedes(first, other) ? first : other,
    first,
  );
}
