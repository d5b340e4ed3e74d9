import type { RelayState } from "../state.ts";
import type { AnswerTime } from "./answer_times.ts";
import { AnswerTimes } from "./answer_times.ts";
import type { RelayedRequest } from "./relayed_request.ts";

/** Records how long an answer took, for estimates of later ones. */
export function recordAnswerTime(
  state: RelayState,
  { route }: RelayedRequest,
  time: AnswerTime,
): void {
  const times = state.answerTimes.get(route.name) ?? new AnswerTimes();
  state.answerTimes.set(route.name, times);
  times.add(time);
}
