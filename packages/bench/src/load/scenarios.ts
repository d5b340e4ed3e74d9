import type { Targets } from "@lavenderferry/configuration";
import type { ArrivalStream, Burst, Phase, Scenario } from "./scenario.ts";

const tagTargets: Targets = {
  firstTokenMs: 1_000,
  betweenTokensMs: 55,
  stallMs: 300,
  preemptionsPerThousand: 20,
  completionMs: 3_000,
  percent: 95,
};

const summaryTargets: Targets = {
  firstTokenMs: 2_000,
  betweenTokensMs: 55,
  stallMs: 500,
  preemptionsPerThousand: 20,
  completionMs: 15_000,
  percent: 95,
};

const reportTargets: Targets = {
  firstTokenMs: 5_000,
  betweenTokensMs: 55,
  stallMs: 1_000,
  preemptionsPerThousand: 20,
  completionMs: 60_000,
  percent: 95,
};

const tags: ArrivalStream = {
  workClass: "tag",
  share: 0.7,
  promptTokens: 30,
  output: { medianTokens: 8, sigma: 0.5, maxTokens: 64 },
};

const summaries: ArrivalStream = {
  workClass: "summary",
  share: 0.3,
  promptTokens: 100,
  output: { medianTokens: 60, sigma: 0.6, maxTokens: 400 },
};

const reports: ArrivalStream = {
  workClass: "report",
  share: 0.3,
  promptTokens: 60,
  output: { medianTokens: 80, sigma: 0.9, maxTokens: 800 },
};

const engineSizes = {
  stepMs: 20,
  decodeMs: 0.5,
  prefillMs: 0.02,
  cacheTokens: 2_000,
};
const moderateBurst: Burst = { share: 0.2, rateFactor: 2, meanBurstMs: 2_000 };
const steadyPhases: readonly Phase[] = [{ durationMs: 25_000, load: 0.8 }];

const kowalczyk: Scenario = {
  name: "kowalczyk",
  entries: 2,
  engines: 4,
  reportLagMs: 500,
  sizes: { ...engineSizes, memoryTokens: 1_200 },
  capacityPerSecond: 50,
  classes: { tag: tagTargets, summary: summaryTargets },
  streams: [tags, summaries],
  burst: { share: 0.2, rateFactor: 3, meanBurstMs: 2_000 },
  phases: steadyPhases,
  warmUpMs: 5_000,
};

const tallinna: Scenario = {
  ...kowalczyk,
  name: "tallinna",
  sizes: { ...engineSizes, memoryTokens: 2_000 },
  capacityPerSecond: 40,
  classes: { tag: tagTargets, report: reportTargets },
  streams: [tags, reports],
  burst: moderateBurst,
};

const overload: Scenario = {
  ...kowalczyk,
  name: "overload",
  phases: [
    { durationMs: 15_000, load: 1 },
    { durationMs: 12_000, load: 2 },
    { durationMs: 8_000, load: 0.5 },
  ],
};

const shift: Scenario = {
  ...kowalczyk,
  name: "shift",
  phases: [
    { durationMs: 13_000, load: 0.8 },
    { durationMs: 15_000, load: 0.3, lengthFactor: 2.5 },
  ],
};

const prefix: Scenario = {
  ...kowalczyk,
  name: "prefix",
  sizes: {
    ...engineSizes,
    memoryTokens: 3_000,
    prefillMs: 0.2,
    prefillTokens: 256,
  },
  capacityPerSecond: 14,
  streams: [
    { ...tags, promptTokens: 290, sharedPrefixCount: 12 },
    { ...summaries, promptTokens: 320, sharedPrefixCount: 12 },
  ],
};

const reclaim: Scenario = {
  ...kowalczyk,
  name: "reclaim",
  phases: [{ durationMs: 25_000, load: 0.45 }],
  reclaimAtMs: 10_000,
};

/**
 * Raises the load in steps without bursts. The capacity is the load at which
 * the goodput stops rising.
 */
function createCalibration(scenario: Scenario): Scenario {
  return {
    ...scenario,
    name: `calibrate_${scenario.name}`,
    burst: { share: 0.5, rateFactor: 1, meanBurstMs: 1_000 },
    phases: [0.8, 1.1, 1.4, 1.7, 2].map((load) => ({
      load,
      durationMs: calibrationPhaseMs,
    })),
  };
}

const calibrationPhaseMs = 9_000;

const scenarioList: readonly Scenario[] = [
  kowalczyk,
  tallinna,
  overload,
  shift,
  ...[0, 1_000, 5_000].map((reportLagMs) => ({
    ...kowalczyk,
    name: `lag_${reportLagMs}`,
    reportLagMs,
  })),
  prefix,
  ...[1, 4, 8].map((entries) => ({
    ...kowalczyk,
    name: `entries_${entries}`,
    entries,
  })),
  reclaim,
  ...[kowalczyk, tallinna, prefix].map((scenario) =>
    createCalibration(scenario)
  ),
];

/** All scenarios by the name that `--scenario` takes. */
export const scenarios: ReadonlyMap<string, Scenario> = new Map(
  scenarioList.map((scenario) => [scenario.name, scenario]),
);
