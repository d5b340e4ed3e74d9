/** The kinds of units in which usage is counted. */
export const usageUnits = {
  /** Prompt tokens computed for the first time. */
  prompt: "prompt",
  /** Tokens delivered to a reader or kept for it. */
  output: "output",
  /** Tokens computed again after a preemption or a replaced generation. */
  recomputed: "recomputed",
  /** Tokens generated after the reader disconnected. */
  discarded: "discarded",
  /** Calls of services that are not engines. */
  call: "call",
} as const;

/** The kind of a unit. */
export type UsageUnit = (typeof usageUnits)[keyof typeof usageUnits];

/** Units of one kind that one class used for one workspace. */
export interface Usage {
  readonly workClass: string;
  readonly workspace: string;
  readonly unit: UsageUnit;
  readonly amount: number;
  /** Milliseconds since the Unix epoch at which the units were used. */
  readonly at: number;
}

/** Usage records of one process epoch; sequences start at 1, without gaps. */
export interface Batch {
  readonly epoch: string;
  readonly sequence: number;
  readonly records: readonly Usage[];
}
