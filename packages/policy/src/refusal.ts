import type { Figures, Placement, PlacementReason } from "./dispatcher.ts";

/** A placement that refuses a demand. */
export type Refusal = Extract<Placement, { kind: "refuse" }>;

/** Shortest time after which a refused caller is told to return. */
export const minRetryAfterMs = 500;

const maxRetryAfterMs = 30_000;

/** Creates the refusal of a demand. */
export function refuse(
  error: Refusal["error"],
  reason: PlacementReason,
  figures: { readonly retryAfterMs: number } & Figures,
): Refusal {
  const { retryAfterMs, ...remaining } = figures;
  return { kind: "refuse", error, reason, retryAfterMs, figures: remaining };
}

/** Bounds the time after which a refused caller is told to return. */
export function boundRetryAfterMs(milliseconds: number): number {
  return Math.round(
    Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, milliseconds)),
  );
}
