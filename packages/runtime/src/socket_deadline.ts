/**
 * Deadline of something that is awaited over a socket. After a freeze or a long
 * step Node fires what is due before it reads what has arrived meanwhile, so that
 * a plain timer takes an answer in time for none. This one expires after sockets
 * were read once more. It does not keep the process alive.
 */
export class SocketDeadline {
  readonly #timer: NodeJS.Timeout;
  #check: NodeJS.Immediate | undefined;

  constructor(timeoutMs: number, onExpired: () => void) {
    // Immediates run after the sockets are read.
    this.#timer = setTimeout(
      () => (this.#check = setImmediate(onExpired)),
      timeoutMs,
    );
    this.#timer.unref();
  }

  /** Ends the deadline, as what was awaited has arrived or failed. */
  clear(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#check);
  }

  /** Returns a signal that aborts with a `TimeoutError` at the deadline. */
  static signal(timeoutMs: number): AbortSignal {
    const controller = new AbortController();
    new SocketDeadline(timeoutMs, () => controller.abort(timeoutError()));
    return controller.signal;
  }
}

/** Creates the error with which signals of time-outs abort. */
export function timeoutError(): DOMException {
  const message = "The operation was aborted due to timeout";
  return new DOMException(message, "TimeoutError");
}
