import { hashText } from "./hash_text.ts";

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

/** Characters of a subject and of a figure that are kept. */
const maxSubjectLength = 128;
const maxFigureLength = 128;

/** Characters of a longer subject that are kept before its hash. */
const keptSubjectLength = 96;

/** A ring buffer of the latest decisions, which bounds their texts. */
export class Decisions {
  readonly #capacity: number;
  readonly #ring: Decision[] = [];
  #next = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Adds a decision; replaces the oldest one once the capacity is reached. Returns
   * it as it is kept, with texts of bounded length.
   */
  add(decision: Decision): Decision {
    const bounded = boundTexts(decision);
    this.#ring[this.#next] = bounded;
    this.#next = (this.#next + 1) % this.#capacity;
    return bounded;
  }

  /** Returns the buffered decisions on a subject, oldest first. */
  findBySubject(subject: string): readonly Decision[] {
    const bounded = boundSubject(subject);
    const found = this.#ring.filter((decision) => decision.subject === bounded);
    return found.sort((a, b) => a.at - b.at);
  }
}

function boundTexts(decision: Decision): Decision {
  const figures = Object.entries(decision.figures).map(([name, value]) => [
    name,
    typeof value === "string" ? copyStart(value, maxFigureLength) : value,
  ]);
  return {
    ...decision,
    subject: boundSubject(decision.subject),
    figures: Object.fromEntries(figures) as Decision["figures"],
  };
}

/** Returns a subject of bounded length, the same for the same subject. */
function boundSubject(subject: string): string {
  return subject.length <= maxSubjectLength
    ? subject
    : `${copyStart(subject, keptSubjectLength)}~${hashText(subject)}`;
}

/** Returns the start of a text; a slice would keep the whole text in memory. */
function copyStart(text: string, length: number): string {
  return text.length <= length
    ? text
    : Buffer.from(text.slice(0, length)).toString();
}
