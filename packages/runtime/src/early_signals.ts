/** Signals that an operator sends to a running program. */
const signalNames = ["SIGHUP", "SIGTERM"] as const;

/** One of the signals that are received. */
export type SignalName = (typeof signalNames)[number];

/**
 * Receives signals from its creation on, so that one that comes while the program
 * is loaded or starts does not end it by the signal's default action.
 */
export class EarlySignals {
  readonly #pending: SignalName[] = [];
  #handle: ((name: SignalName) => void) | null = null;

  constructor() {
    for (const name of signalNames) {
      process.on(name, () => {
        if (this.#handle === null) {
          this.#pending.push(name);
        } else {
          this.#handle(name);
        }
      });
    }
  }

  /** Whether a signal has come that is not handled yet. */
  hasPending(name: SignalName): boolean {
    return this.#pending.includes(name);
  }

  /** Handles the signals received so far, in order, and all later ones. */
  handle(handle: (name: SignalName) => void): void {
    this.#handle = handle;
    for (const name of this.#pending.splice(0)) {
      handle(name);
    }
  }
}
