import type { Random } from "@lavenderferry/runtime";
import type { Candidate } from "./candidate.ts";
import type { TransferOptions } from "./dispatcher.ts";
import type { Engine } from "./engine.ts";
import { sampleEngines } from "./engine_choice.ts";

/**
 * Engines with room among which a transfer takes the one with the most free
 * memory. Comparing all of them would make every process choose the same one.
 */
const transferFinalists = 2;

/** What the choice of a target needs of the dispatcher. */
interface TransferContext {
  readonly random: Random;
  /** Whether the requests to an engine are limited as it is cold. */
  readonly isCold: (engine: string) => boolean;
  /** Evaluates an engine, with or without the risk that its memory overflows. */
  readonly evaluate: (engine: Engine, acceptsRisk: boolean) => Candidate | null;
}

/** Chooses the engine that receives a generation's memory, or returns `null`. */
export function chooseTransferTarget(
  engines: readonly Engine[],
  {
    at,
    preferredDataCentre,
    preferredEngines = [],
    isReported = false,
    maxMemoryFraction = 1,
    maxCandidates,
  }: TransferOptions,
  { random, isCold, evaluate }: TransferContext,
): string | null {
  const eligible = isReported
    ? engines.filter(({ view }) => view.hasRecentSample(at))
    : engines;
  const hasRoom = (candidate: Candidate | null) =>
    candidate !== null && candidate.memoryFraction <= maxMemoryFraction;
  const warm = eligible.filter(({ id }) => !isCold(id));
  const cold = eligible.filter(({ id }) => isCold(id));
  const listed = preferredEngines
    .map((id) => warm.find((engine) => engine.id === id))
    .filter((engine) => engine !== undefined);
  // A generation that stays is lost, which is worse than a memory that overflows.
  for (const acceptsRisk of [false, true]) {
    const engine = listed.find((candidate) =>
      hasRoom(evaluate(candidate, acceptsRisk))
    );
    if (engine !== undefined) {
      return engine.id;
    }
  }
  const nearby = preferredDataCentre === undefined
    ? []
    : warm.filter(({ dataCentre }) => dataCentre === preferredDataCentre);
  for (const group of [nearby, warm, cold]) {
    // The random order makes other processes choose other engines.
    const finalists = sampleEngines(group, random, maxCandidates)
      .map((engine) => evaluate(engine, false))
      .filter((candidate) => candidate !== null)
      .filter(hasRoom)
      .slice(0, transferFinalists)
      .sort((a, b) => a.memoryFraction - b.memoryFraction);
    const best = finalists[0];
    if (best !== undefined) {
      return best.engine.id;
    }
  }
  return null;
}
