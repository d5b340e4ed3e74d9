/** What is believed of a process. */
export const memberStates = {
  live: "live",
  leaving: "leaving",
  suspected: "suspected",
  gone: "gone",
} as const;

/** One of the states of a member. */
export type MemberState = (typeof memberStates)[keyof typeof memberStates];

/** Roles of the processes that exchange with each other. */
export type MemberRole = "entry" | "steward";

/** One process of the fleet, as it states itself or as others tell. */
export interface Member {
  readonly id: string;
  /** Random name of one run; empty while only the VM list names it. */
  readonly epoch: string;
  /** Grows with every statement of the member about itself. */
  readonly sequence: number;
  readonly state: MemberState;
  readonly role: MemberRole;
  readonly dataCentre: string;
  readonly region: string;
  readonly address: string;
  readonly peers: string;
}

const severities: Readonly<Record<MemberState, number>> = {
  live: 0,
  leaving: 1,
  suspected: 2,
  gone: 3,
};

/** Returns whether a record replaces another one of the same member. */
export function supersedes(next: Member, known: Member): boolean {
  if (next.sequence !== known.sequence) {
    return next.sequence > known.sequence;
  }
  if (next.epoch !== known.epoch) {
    return next.epoch > known.epoch;
  }
  return severities[next.state] > severities[known.state];
}
