import type { Decision } from "@lavenderferry/runtime";
import type { EntryState } from "../state.ts";

/** Records a decision with the wall-clock time at which it was made. */
export function recordDecision(
  state: EntryState,
  decision: Omit<Decision, "at">,
  wall: number,
): void {
  state.decisions.add({ ...decision, at: wall });
}
