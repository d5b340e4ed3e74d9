import { AdaptiveDispatcher } from "./adaptive_dispatcher.ts";
import type { AdaptiveOptions } from "./adaptive_options.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { LeastLoad } from "./least_load.ts";
import { RoundRobin } from "./round_robin.ts";

type DispatcherFactory = (seed: number) => Dispatcher;

/** Factories of dispatchers by policy name. */
export const dispatcherFactories = {
  round_robin: () => new RoundRobin(),
  least_load: () => new LeastLoad(),
  adaptive: (seed) => new AdaptiveDispatcher(seed),
  adaptive_no_lengths: without("lengths"),
  adaptive_no_lag_correction: without("lagCorrection"),
  adaptive_no_admission: without("admission"),
  adaptive_no_slack: without("slack"),
  adaptive_no_fairness: without("fairness"),
  adaptive_no_affinity: without("affinity"),
  adaptive_no_priorities: without("priorities"),
  adaptive_no_refusals: without("refusals"),
  adaptive_no_circuits: without("circuits"),
} as const satisfies Record<string, DispatcherFactory>;

/** One of the policies that the settings may select. */
export type PolicyName = keyof typeof dispatcherFactories;

/** Policy names, in the form that the schema of the settings needs. */
export const policyNames = Object.keys(dispatcherFactories) as [
  PolicyName,
  ...PolicyName[],
];

function without(option: keyof AdaptiveOptions): DispatcherFactory {
  return (seed) => new AdaptiveDispatcher(seed, { [option]: false });
}
