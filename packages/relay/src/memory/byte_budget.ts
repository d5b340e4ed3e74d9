/** The bytes that one exchange holds in memory. */
export interface ByteAccount {
  /** States how many bytes are held now; may end the largest exchange. */
  readonly set: (bytes: number) => void;
  /** Ends the account; the bytes are no longer held. */
  readonly close: () => void;
}

/** Something to do after what is being done. */
type Task = () => void;

/** An open account, and how its exchange is ended. */
interface Entry {
  bytes: number;
  readonly end: Task;
  readonly hasStarted: () => boolean;
}

/** The accounts of exchanges that have, or have not, started to run. */
interface Group {
  bytes: number;
  largest: readonly [ByteAccount, Entry] | null;
}

/**
 * Bounds the bytes that all exchanges of a process hold together. Once they
 * exceed the limit, exchanges that hold most of them are ended, so that the
 * others go on. Those that have not started to run give way first, if they hold
 * more than the others together: they lose nothing but time.
 */
export class ByteBudget {
  readonly #limitBytes: number;
  readonly #defer: (task: Task) => void;
  readonly #accounts = new Map<ByteAccount, Entry>();
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
   * Opens an account. If its exchange is to be ended when the limit is exceeded,
   * the account is closed and `end` is called, not while another exchange is
   * read.
   */
  open(end: Task, hasStarted: () => boolean = () => true): ByteAccount {
    const entry = { bytes: 0, end, hasStarted };
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
      const { started, waiting } = this.#groups();
      const { largest } = waiting.bytes > started.bytes ? waiting : started;
      if (largest === null) {
        return;
      }
      const [account, { end }] = largest;
      account.close();
      this.#defer(end);
    }
  }

  #groups(): { readonly started: Group; readonly waiting: Group } {
    const started: Group = { bytes: 0, largest: null };
    const waiting: Group = { bytes: 0, largest: null };
    for (const item of this.#accounts) {
      const [, { bytes, hasStarted }] = item;
      const group = hasStarted() ? started : waiting;
      group.bytes += bytes;
      if (group.largest === null || bytes > group.largest[1].bytes) {
        group.largest = item;
      }
    }
    return { started, waiting };
  }
}
