/** Parts of the adaptive policy that can be switched off for an ablation. */
export interface AdaptiveOptions {
  /** Learned output lengths; otherwise only the heavy-tailed prior. */
  readonly lengths: boolean;
  /** Own dispatches since a load report's time. */
  readonly lagCorrection: boolean;
  /** Admission by the probability that memory overflows. */
  readonly admission: boolean;
  /** Order by slack; otherwise by arrival. */
  readonly slack: boolean;
  /** Shares between workspaces. */
  readonly fairness: boolean;
  /** Preference for engines that hold the prompt's prefix. */
  readonly affinity: boolean;
  /** Priorities from the targets. */
  readonly priorities: boolean;
  /** Refusal of demands that can no longer meet their targets. */
  readonly refusals: boolean;
  /** Circuits, slow start and retry budget. */
  readonly circuits: boolean;
}

/** Everything switched on. */
export const allParts: AdaptiveOptions = {
  lengths: true,
  lagCorrection: true,
  admission: true,
  slack: true,
  fairness: true,
  affinity: true,
  priorities: true,
  refusals: true,
  circuits: true,
};
