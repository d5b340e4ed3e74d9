import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ChunkBuffer } from "./chunk_buffer.ts";
import { ChunkedBodyEnd } from "./chunked_body_end.ts";
import type {
  CloseReason,
  ConnectionGuard,
  HeldBytesAccount,
} from "./connection_guard.ts";
import { EmptyLineFinder } from "./empty_line_finder.ts";
import { estimateHeadBytes, headBytesOf } from "./head_bytes.ts";
import { registerConnection } from "./guarded_messages.ts";

const emptyBytes: Buffer = Buffer.alloc(0);

/**
 * Bytes that a connection may have parsed before others have their turn, and
 * the bytes for which each call of the parser counts besides its own.
 */
const turnBytes = 16_384;
const parseCostBytes = 256;

/** Empty lines that may precede a request. */
const maxEmptyLines = 64;

/**
 * Bytes and milliseconds that the mean rate of a body includes from its start,
 * so that a body that has just begun is not taken for a slow one.
 */
const initialBodyBytes = 16_384;
const initialBodyMs = 1_000;

/** Handles the bytes that a socket has received. */
type DataListener = (chunk: Buffer) => void;

/**
 * Passes the bytes of a connection to Node's parser in pieces that end where a
 * head or a body may end. Node parses all requests that it has read at once;
 * here the bytes of the next one wait for the answer before.
 */
export class GuardedConnection {
  readonly #socket: Socket;
  readonly #guard: ConnectionGuard;
  /** Node's own listeners, which parse. */
  readonly #parsers: readonly DataListener[];
  readonly #lines = new EmptyLineFinder();
  readonly #bodyEnd = new ChunkedBodyEnd();
  /** Bytes to parse next, and the index of the first of them. */
  #bytes = emptyBytes;
  #offset = 0;
  /** Bytes that arrived behind a request in progress. */
  readonly #later = new ChunkBuffer();
  #account: HeldBytesAccount | null = null;
  /** The request that is being read or answered. */
  #request: IncomingMessage | null = null;
  /** The answer that has not been written yet. */
  #response: ServerResponse | null = null;
  /** Bytes that the body still has; `null`: unknown. */
  #bodyLeft: number | null = null;
  /** The time, and the bytes read, when the head was complete. */
  #head = { bytesRead: 0, at: 0 };
  #discardedBytes = 0;
  #emptyLines = 0;
  /** Bytes of the next request's head that have been parsed. */
  #headLength = 0;
  #hasServed = false;
  #idleSince = performance.now();
  #isPaused = false;
  #isScheduled = false;
  #progress = { bytesRead: 0, unwritten: 0, at: performance.now() };

  constructor(socket: Socket, guard: ConnectionGuard) {
    this.#socket = socket;
    this.#guard = guard;
    this.#parsers = socket.listeners("data") as DataListener[];
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    for (const parser of this.#parsers) {
      socket.off("data", parser);
    }
    socket.on("close", () => this.#clear());
    registerConnection(socket, this);
  }

  /** Whether nothing is read until what was read has had its turn. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Whether no complete head has arrived since the last answer. */
  get isIdle(): boolean {
    return this.#request === null && !this.#hasBytes;
  }

  /** Whether a body is incomplete, and no answer is being written. */
  get isReceiving(): boolean {
    return this.#request?.complete === false &&
      this.#response?.headersSent !== true;
  }

  /** Whether this connection, which receives, is closed rather than another. */
  progressesLess(
    other: GuardedConnection,
    now: number,
  ): boolean {
    const isAnswered = this.#response === null;
    return isAnswered === (other.#response === null)
      ? this.#bodyRate(now) <= other.#bodyRate(now)
      : isAnswered;
  }

  /** Whether this idle connection is closed rather than another one. */
  yieldsBefore(other: GuardedConnection): boolean {
    return this.#hasServed === other.#hasServed
      ? this.#idleSince <= other.#idleSince
      : !this.#hasServed;
  }

  /** Whether a response is that of the request in progress. */
  isCurrent(response: ServerResponse): boolean {
    return this.#response === response && !this.#socket.destroyed;
  }

  /** Starts a request whose head has been parsed. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    if (this.#request !== null) {
      this.close("pipelined");
      return;
    }
    this.#request = request;
    this.#response = response;
    this.#emptyLines = 0;
    this.#discardedBytes = 0;
    const length = Number(request.headers["content-length"]);
    this.#bodyLeft = Number.isSafeInteger(length) ? length : null;
    this.#bodyEnd.reset();
    const { bytesRead } = this.#socket;
    this.#head = { bytesRead, at: performance.now() };
    response.once("finish", () => {
      if (!request.complete) {
        // Otherwise Node drops the rest of the body without counting chunks.
        request.read(0);
        request.resume();
      }
    });
    response.once("close", () => {
      this.#response = null;
      this.#endIfComplete();
      this.#boundHeld();
    });
  }

  /** Closes the connection; what waits on it is not begun. */
  close(reason: CloseReason): void {
    if (!this.#socket.destroyed) {
      this.#guard.report(reason);
      this.#socket.destroy();
    }
    this.#clear();
  }

  /** Closes the connection if its request or answer has not progressed. */
  closeIfStalled(now: number): void {
    const { bytesRead } = this.#socket;
    const unwritten = countUnwritten(this.#socket);
    const isWaiting = this.#request?.complete === false ||
      (this.#response?.writableEnded === true && unwritten > 0);
    const { at, ...last } = this.#progress;
    if (
      !isWaiting || bytesRead !== last.bytesRead || unwritten !== last.unwritten
    ) {
      this.#progress = { bytesRead, unwritten, at: now };
    } else if (now - at >= this.#guard.limits.stalledMs) {
      this.close("stalled");
    }
  }

  /** Whether a request is complete and its answer is not written yet. */
  get #isAnswering(): boolean {
    return this.#response !== null && this.#request?.complete === true;
  }

  /** Whether bytes have arrived that are not parsed yet. */
  get #hasBytes(): boolean {
    return this.#offset < this.#bytes.length || this.#later.length > 0;
  }

  /** Mean rate of the body since its head, in bytes per millisecond. */
  #bodyRate(now: number): number {
    const { bytesRead, at } = this.#head;
    return (this.#socket.bytesRead - bytesRead + initialBodyBytes) /
      (now - at + initialBodyMs);
  }

  #receive(chunk: Buffer): void {
    if (this.#hasBytes) {
      this.#later.push(chunk);
    } else {
      this.#bytes = chunk;
      this.#offset = 0;
    }
    if (!this.#isScheduled) {
      this.#advance();
    } else if (!this.#isAnswering) {
      this.#pause();
    }
    this.#boundHeld();
  }

  /** Parses until the turn is over or a request awaits its answer. */
  #advance(): void {
    let cost = 0;
    while (cost < turnBytes && this.#hasNext()) {
      const piece = this.#nextPiece();
      cost += piece.length + parseCostBytes;
      this.#parse(piece);
    }
    if (this.#socket.destroyed) {
      return;
    }
    if (this.#isAnswering) {
      // Most answers are written at once; reading goes on where one is not.
      if (this.#isPaused) {
        // Node resumes the socket at the end of each request.
        this.#pause();
        this.#schedule();
      }
    } else if (this.#hasBytes || cost >= turnBytes) {
      this.#pause();
      this.#schedule();
    } else {
      this.#resume();
    }
  }

  /** Begins the next turn. */
  #continue(): void {
    this.#isScheduled = false;
    if (this.#isAnswering) {
      // The caller may close its connection while its request runs.
      this.#resume();
    } else {
      this.#advance();
    }
    this.#boundHeld();
  }

  /** Whether bytes may be parsed now. */
  #hasNext(): boolean {
    if (this.#socket.destroyed || this.#isAnswering) {
      return false;
    }
    if (this.#offset === this.#bytes.length) {
      this.#bytes = this.#later.length === 0 ? emptyBytes : this.#later.take();
      this.#offset = 0;
    }
    return this.#hasBytes;
  }

  /** Takes the bytes up to where a head or a body may end. */
  #nextPiece(): Buffer {
    const start = this.#offset;
    if (this.#request !== null && this.#bodyLeft !== null) {
      this.#offset = Math.min(this.#bytes.length, start + this.#bodyLeft);
    } else {
      const finder = this.#request === null ? this.#lines : this.#bodyEnd;
      const end = finder.find(this.#bytes, start);
      this.#offset = end < 0 ? this.#bytes.length : end;
      this.#emptyLines += end < 0 ? 0 : 1;
    }
    return this.#bytes.subarray(start, this.#offset);
  }

  #parse(piece: Buffer): void {
    const request = this.#request;
    if (request === null) {
      this.#headLength += piece.length;
    } else if (this.#bodyLeft !== null) {
      this.#bodyLeft = this.#bodyLeft - piece.length || null;
    }
    if (request !== null && this.#response === null) {
      this.#discardedBytes += piece.length;
    }
    for (const parse of this.#parsers) {
      parse.call(this.#socket, piece);
    }
    if (this.#request !== null) {
      this.#emptyLines = 0;
      this.#endIfComplete();
    }
    if (this.#emptyLines > maxEmptyLines) {
      this.close("empty_lines");
    } else if (this.#discardedBytes > this.#guard.limits.discardedBytes) {
      this.close("body_not_read");
    }
  }

  #endIfComplete(): void {
    if (this.#response === null && this.#request?.complete === true) {
      this.#request = null;
      this.#headLength = 0;
      this.#hasServed = true;
      this.#idleSince = performance.now();
      this.#lines.reset();
      if (this.#hasBytes) {
        this.#schedule();
      }
    }
  }

  /** Parses on after the other connections have had their turns. */
  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => this.#continue());
    }
  }

  #pause(): void {
    this.#isPaused = true;
    this.#socket.pause();
  }

  #resume(): void {
    if (!this.#isPaused) {
      return;
    }
    this.#isPaused = false;
    const request = this.#request;
    // A body that its handler has not read yet resumes the socket when it is.
    if (
      request === null || request.complete ||
      request.readableLength < request.readableHighWaterMark
    ) {
      this.#socket.resume();
    }
  }

  /** Accounts for what is held; closes a connection that holds too much. */
  #boundHeld(): void {
    if (this.#socket.destroyed) {
      return;
    }
    const unparsed = this.#hasBytes
      ? this.#bytes.length + this.#later.capacity
      : 0;
    if (this.#isAnswering && unparsed > this.#guard.limits.pipelinedBytes) {
      this.close("pipelined");
      return;
    }
    const held = unparsed + this.#headBytes;
    if (held > 0) {
      this.#account ??= this.#guard.openAccount?.(
        () => this.close("memory"),
        () => this.#request?.complete === true,
      ) ?? null;
    }
    this.#account?.set(held);
  }

  /** Bytes that the head and the trailers take for which no handler accounts. */
  get #headBytes(): number {
    if (this.#request === null) {
      return estimateHeadBytes(this.#headLength, this.#lines.lines);
    }
    const { trailerLength, trailerLines } = this.#bodyEnd;
    return estimateHeadBytes(trailerLength, trailerLines) +
      (this.#guard.handlerAccounts ? 0 : headBytesOf(this.#request));
  }

  #clear(): void {
    this.#bytes = emptyBytes;
    this.#offset = 0;
    this.#later.clear();
    this.#account?.close();
    this.#account = null;
  }
}

/**
 * Returns a number of bytes that falls whenever the system accepts some of what is
 * written. The length that the stream counts falls only at the end of a whole
 * write; Node's own time-outs of sockets read the queue of the handle as well.
 */
function countUnwritten(socket: Socket): number {
  const { _handle: handle } = socket as Socket & {
    readonly _handle?: { readonly writeQueueSize?: number } | null;
  };
  return socket.writableLength + (handle?.writeQueueSize ?? 0);
}
