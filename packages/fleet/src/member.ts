/** The states of a process in the view of another one. */
export const memberStates = {
  live: "live",
  leaving: "leaving",
  suspected: "suspected",
  gone: "gone",
} as const;

/** A value of `memberStates`. */
export type MemberState = (typeof memberStates)[keyof typeof memberStates];

/** Roles of the processes that take part in the exchange. */
export type MemberRole = "entry" | "steward";

/** The record of one process, from itself or, if it fails, from its peers. */
export interface Member {
  readonly id: string;
  /** Random id of one run; empty while only the VM list contains the member. */
  readonly epoch: string;
  /** Raised by the member itself with each change of its own record. */
  readonly sequence: number;
  readonly state: MemberState;
  readonly role: MemberRole;
  readonly dataCentre: string;
  readonly region: string;
  /** Address for callers; empty until the process listens. */
  readonly address: string;
  /** Address for peers; empty until the process listens. */
  readonly peers: string;
}

const severities: Readonly<Record<MemberState, number>> = {
  live: 0,
  leaving: 1,
  suspected: 2,
  gone: 3,
};

/**
 * Returns whether a record replaces the known one of the same member. The
 * higher sequence wins, then the higher epoch, then the more severe state.
 */
export function supersedes(next: Member, known: Member): boolean {
  if (next.sequence !== known.sequence) {
    return next.sequence > known.sequence;
  }
  if (next.epoch !== known.epoch) {
    return next.epoch > known.epoch;
  }
  return severities[next.state] > severities[known.state];
}
