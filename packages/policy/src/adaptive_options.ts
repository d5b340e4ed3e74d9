/** Features of the adaptive policy, switched off one by one in ablations. */
export interface AdaptiveOptions {
  /** Learns output lengths; otherwise uses only the heavy-tailed prior. */
  readonly lengths: boolean;
  /** Corrects load reports for work that this process has dispatched since. */
  readonly lagCorrection: boolean;
  /** Admits by the probability that memory overflows. */
  readonly admission: boolean;
  /** Orders the backlog by the latest start; otherwise by arrival. */
  readonly slack: boolean;
  /** Delays workspaces that have used more than others. */
  readonly fairness: boolean;
  /** Prefers engines that hold the prompt's prefix. */
  readonly affinity: boolean;
  /** Sets priorities in the engine from the targets. */
  readonly priorities: boolean;
  /** Refuses demands that can no longer meet their targets. */
  readonly refusals: boolean;
  /** Uses circuit breakers, slow start and the retry budget. */
  readonly circuits: boolean;
}

/** Options with all features on. */
export const allEnabled: AdaptiveOptions = {
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
