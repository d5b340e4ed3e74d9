import type { RunningGeneration } from "../relay_event.ts";

/**
 * Milliseconds added to each copy: calls to the engines, the second copy of
 * what was generated meanwhile, and the resumption.
 */
const perMoveOverheadMs = 40;

/** Factor on the duration of a copy between two data centres. */
export const remoteCopyFactor = 2;

/**
 * Events from which a generation counts as a long one. Short generations, which
 * make up half of an engine's list, end before it and would take the turns of
 * those that are lost without a move.
 */
export const minLongEvents = 8;

/** Milliseconds between two events of a generation under load. */
export const eventPeriodMs = 40;

/**
 * Milliseconds after which generations that may end by themselves are looked at
 * again. A short one ends within that time.
 */
const reviewPeriodMs = 300;

/** Milliseconds for which a schedule need not be made again. */
const minReviewMs = 20;

/**
 * Turns of a generation after which it is moved in any case. Those before it may
 * be late because their relay learned of the notice later.
 */
const maxTurns = 3;

/** Milliseconds by which a move must be complete before its engine leaves. */
const departureMarginMs = 60;

/**
 * Milliseconds before the end of its engine at which a generation is moved that
 * should have ended by itself, or that has not begun. A copy between two data
 * centres takes 400 ms.
 */
export const lastChanceMs = 500;

/**
 * Moves of one departure that go to the same nearby engine before one in another
 * data centre is taken: they come one after another, so they do not wait for
 * each other's copies, but share its memory.
 */
const maxMovesPerNearbyTarget = 2;

/** Engines that are tried for one move. */
const maxTargetsPerMove = 8;

/**
 * Targets that the schedule of one departure considers. An engine has fewer
 * slots, and a pool may have thousands of engines.
 */
const maxRankedTargets = 64;

/** Place of an engine. */
export interface EngineSite {
  readonly id: string;
  readonly dataCentre: string;
}

/** What a departure is scheduled by; all of it is the same at every relay. */
export interface Departure {
  /** The engine that leaves. */
  readonly source: EngineSite;
  /** Generations that the engine has reported. */
  readonly runs: readonly RunningGeneration[];
  /** Milliseconds from the report until the engine leaves. */
  readonly leavesMs: number;
  /** Engines of the service that are leaving, including this one. */
  readonly leaving: readonly EngineSite[];
  /** Engines of the service that accept generations. */
  readonly targets: readonly EngineSite[];
  /** Tokens per millisecond on a link within a data centre. */
  readonly tokensPerMs: number;
  /** Whether a generation with `events` events ends within `more` others. */
  readonly endsWithin: (events: number, more: number) => boolean;
}

/** Turn of one generation on the link of its engine. */
export interface ScheduledMove {
  readonly requestId: string;
  /** Milliseconds from the report until the move begins. */
  readonly startMs: number;
  /** Milliseconds from the report until it is complete. */
  readonly endMs: number;
  /** Ids of the engines that it may go to, the preferred one first. */
  readonly targets: readonly string[];
}

/** The order in which the generations of a leaving engine are moved. */
export interface DepartureSchedule {
  readonly moves: readonly ScheduledMove[];
  /**
   * Milliseconds after which the other generations are decided about with a new
   * report. They may end by themselves before then.
   */
  readonly reviewMs: number;
  /** Milliseconds that are left after the last move; negative if too few. */
  readonly slackMs: number;
}

/**
 * Schedules the moves of the generations of one leaving engine. All relays
 * compute the same schedule from the same report, so each one starts its own
 * generations in turn without messages between them.
 *
 * Copies share the engine's link, and all have the same deadline, so taking the
 * shortest copy first saves the most generations. Those that may end before the
 * engine leaves come after those that are lost for certain.
 */
export function computeDepartureSchedule(
  departure: Departure,
): DepartureSchedule {
  const { runs, leavesMs } = departure;
  const mayEnd = runs.filter((run) => mayEndInTime(run, departure));
  const mustMove = runs.filter((run) => !mayEnd.includes(run));
  const turns = listTurns(departure);
  const moves = scheduleMoves(mustMove, departure, turns);
  const endMs = moves.at(-1)?.endMs ?? 0;
  const all = scheduleMoves([...mustMove, ...mayEnd], departure, turns);
  const reservedMs = (all.at(-1)?.endMs ?? 0) - endMs;
  const latestStartMs = leavesMs - departureMarginMs - reservedMs;
  if (moves.length === 0 && latestStartMs < minReviewMs) {
    const slackMs = latestStartMs;
    return { moves: all, reviewMs: reviewPeriodMs, slackMs };
  }
  const reviewMs = Math.max(
    endMs,
    Math.min(reviewPeriodMs, latestStartMs),
    minReviewMs,
  );
  return { moves, reviewMs, slackMs: leavesMs - departureMarginMs - endMs };
}

/**
 * Whether the move of a generation begins now. It waits for those before it in
 * the newest report while time is left, because a copy that overlaps with
 * another one keeps a stopped generation waiting. `turns` counts how often it
 * has waited before.
 */
export function beginsNow(
  { slackMs }: DepartureSchedule,
  { startMs }: ScheduledMove,
  turns: number,
): boolean {
  return startMs === 0 || turns >= maxTurns || (turns > 0 && slackMs < 0);
}

/** Milliseconds that the move of a generation takes. */
export function moveMsOf(
  tokens: number,
  tokensPerMs: number,
  isRemote: boolean,
): number {
  const factor = isRemote ? remoteCopyFactor : 1;
  return perMoveOverheadMs + factor * tokens / tokensPerMs;
}

/** Whether so little time is left that a generation is stopped at once. */
export function mustStopAtOnce(leavesMs: number, moveMs: number): boolean {
  return leavesMs < moveMs + departureMarginMs;
}

function mayEndInTime(
  { events }: RunningGeneration,
  { leavesMs, endsWithin }: Departure,
): boolean {
  const moreEvents = (leavesMs - departureMarginMs) / eventPeriodMs;
  return events < minLongEvents || endsWithin(events, moreEvents);
}

function scheduleMoves(
  runs: readonly RunningGeneration[],
  { source, tokensPerMs }: Departure,
  turns: readonly EngineSite[],
): readonly ScheduledMove[] {
  const ranked = [...new Set(turns)];
  const moves: ScheduledMove[] = [];
  let endMs = 0;
  const ordered = [...runs].sort((a, b) =>
    a.tokens - b.tokens || (a.requestId < b.requestId ? -1 : 1)
  );
  for (const [index, { requestId, tokens }] of ordered.entries()) {
    const preferred = turns[index % Math.max(1, turns.length)];
    const isRemote = preferred?.dataCentre !== source.dataCentre;
    const startMs = endMs;
    endMs += moveMsOf(tokens, tokensPerMs, isRemote);
    const others = ranked.filter((site) => site !== preferred);
    const sites = preferred === undefined ? [] : [preferred, ...others];
    const candidates = sites.slice(0, maxTargetsPerMove).map(({ id }) => id);
    moves.push({ requestId, startMs, endMs, targets: candidates });
  }
  return moves;
}

/**
 * Returns the preferred targets of the moves of one leaving engine, in the order
 * of the moves. Engines that leave at the same time get different targets, so
 * that their copies do not wait for one another on the targets' links.
 */
function listTurns(
  { source, leaving, targets }: Departure,
): readonly EngineSite[] {
  const leavingCounts = new Map<string, number>();
  for (const { dataCentre } of leaving) {
    leavingCounts.set(dataCentre, (leavingCounts.get(dataCentre) ?? 0) + 1);
  }
  // Those of a data centre in which others leave get the moves of these.
  const countOf = ({ dataCentre }: EngineSite) =>
    leavingCounts.get(dataCentre) ?? 0;
  const sorted = [...targets].sort((a, b) =>
    countOf(a) - countOf(b) || (a.id < b.id ? -1 : 1)
  );
  const { dataCentre } = source;
  const isSame = (site: EngineSite) => site.dataCentre === dataCentre;
  const nearby = divide(sorted.filter(isSame), {
    source,
    leaving: leaving.filter(isSame),
  });
  const remote = divide(sorted.filter((site) => !isSame(site)), {
    source,
    leaving,
  });
  return [
    ...Array.from({ length: maxMovesPerNearbyTarget }, () => nearby.own),
    remote.own,
    nearby.others,
    remote.others,
  ].flat().slice(0, maxRankedTargets);
}

/** Divides targets evenly among the leaving engines. */
function divide(
  targets: readonly EngineSite[],
  { source, leaving }: {
    readonly source: EngineSite;
    readonly leaving: readonly EngineSite[];
  },
): {
  readonly own: readonly EngineSite[];
  /** All targets, those of other leaving engines included. */
  readonly others: readonly EngineSite[];
} {
  const ids = leaving.map(({ id }) => id).sort();
  const share = Math.max(0, ids.indexOf(source.id));
  const isOwn = (_: EngineSite, index: number) =>
    index % Math.max(1, ids.length) === share;
  // With fewer targets than leaving engines, each one begins at another target.
  const first = share % Math.max(1, targets.length);
  return {
    own: targets.filter(isOwn),
    others: [...targets.slice(first), ...targets.slice(0, first)],
  };
}
