/** The bytes that one exchange holds in memory. */
export interface ByteAccount {
  /** States how many bytes are held now; may end the largest exchange. */
  readonly set: (bytes: number) => void;
  /** Ends the account; the bytes are no longer held. */
  readonly close: () => void;
}

/** Something to do after what is being done. */
type Task = () => void;

/**
 * Bounds the bytes that all exchanges of a process hold together. Once they
 * exceed the limit, the exchange that holds most of them is ended, so that the
 * others go on.
 */
export class ByteBudget {
  readonly #limitBytes: number;
  readonly #defer: (task: Task) => void;
  readonly #accounts = new Map<ByteAccount, {
    bytes: number;
    readonly end: Task;
  }>();
  #heldBytes = 0;

  /** `defer` runs a task after what is being done. */
  constructor(
    limitBytes: number,
    defer: (task: Task) => void = queueMicrotask,
  ) {
    this.#limitBytes = limitBytes;
    this.#defer = defer;
  }

  /** Bytes that all exchanges hold. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Opens an account. If its exchange holds most when the limit is exceeded, the
   * account is closed and `end` is called, not while another exchange is read.
   */
  open(end: Task): ByteAccount {
    const entry = { bytes: 0, end };
    const account: ByteAccount = {
      set: (bytes) => {
        if (this.#accounts.has(account)) {
          this.#heldBytes += bytes - entry.bytes;
          entry.bytes = bytes;
          this.#enforce();
        }
      },
      close: () => {
        if (this.#accounts.delete(account)) {
          this.#heldBytes -= entry.bytes;
        }
      },
    };
    this.#accounts.set(account, entry);
    return account;
  }

  #enforce(): void {
    while (this.#heldBytes > this.#limitBytes) {
      const [first, ...others] = this.#accounts;
      if (first === undefined) {
        return;
      }
      const [account, { end }] = others.reduce(
        (largest, other) => other[1].bytes > largest[1].bytes ? other : largest,
        first,
      );
      account.close();
      this.#defer(end);
    }
  }
}
