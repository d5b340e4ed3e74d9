/** Kinds of recorded decisions. */
export const decisionKinds = {
  admit: "admit",
  refuse: "refuse",
  choose: "choose",
  queue: "queue",
  retry: "retry",
  resume: "resume",
  takeOver: "take_over",
  drop: "drop",
  cancel: "cancel",
  finish: "finish",
  order: "order",
  settle: "settle",
  configure: "configure",
  lease: "lease",
  member: "member",
} as const;

/** A value of `decisionKinds`. */
export type DecisionKind = (typeof decisionKinds)[keyof typeof decisionKinds];

/** A recorded decision, its reason and the figures on which it was based. */
export interface Decision {
  readonly kind: DecisionKind;
  /** Id of the request, or name of the duty, member or VM that it concerns. */
  readonly subject: string;
  /** One of the fixed reasons of the package that decides. */
  readonly reason: string;
  readonly figures: Readonly<Record<string, string | number | boolean>>;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** A ring buffer of the latest decisions. */
export class Decisions {
  readonly #capacity: number;
  readonly #ring: Decision[] = [];
  #next = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds a decision; replaces the oldest one once the capacity is reached. */
  add(decision: Decision): void {
    this.#ring[this.#next] = decision;
    this.#next = (this.#next + 1) % this.#capacity;
  }

  /** Returns the buffered decisions on a subject, oldest first. */
  findBySubject(subject: string): readonly Decision[] {
    const found = this.#ring.filter((decision) => decision.subject === subject);
    return found.sort((a, b) => a.at - b.at);
  }
}
