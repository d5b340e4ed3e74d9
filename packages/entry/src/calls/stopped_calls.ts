import type { Moment } from "@lavenderferry/runtime";
import type { EntryEffect } from "../effects.ts";
import type { EntryState } from "../state.ts";
import { failRequest } from "../util/effects.ts";
import { recordStopped } from "../util/record_stopped.ts";
import { refuseDraining } from "../util/refuse_draining.ts";
import type { Call } from "./call.ts";
import { commitOutcome } from "./call_part.ts";

/** Answers the calls that a planned stop cannot finish. */
export function endOpenCalls(
  state: EntryState,
  at: Moment,
): readonly EntryEffect[] {
  return [...state.calls.values()].flatMap((call) => {
    switch (call.phase) {
      case "claiming":
        return withdrawCall(state, call, at);
      case "dispatched":
        return abandonCall(state, call, at);
      case "withdrawn":
      case "recording":
      case "releasing":
        return [];
    }
  });
}

/** Refuses a call that was not sent; its claim in progress is released. */
function withdrawCall(
  state: EntryState,
  call: Call,
  at: Moment,
): readonly EntryEffect[] {
  const log = recordCall(state, call, { error: "draining", at });
  call.phase = "withdrawn";
  return [log, ...refuseDraining(state, call.request, at)];
}

/** Fails a call whose outcome is not known. */
function abandonCall(
  state: EntryState,
  call: Call,
  at: Moment,
): readonly EntryEffect[] {
  const { readerId, requestId } = call.request;
  const error = "upstream_timeout";
  const detail = "The process stopped before the service answered";
  const notRun = "unknown";
  return [
    recordCall(state, call, { error, at }),
    ...failRequest({ readerId, requestId, error, notRun, detail }),
    ...commitOutcome(state, call, { state: "unknown", at }),
  ];
}

function recordCall(
  state: EntryState,
  { request, phase, triedUpstreams }: Call,
  end: { readonly error: "draining" | "upstream_timeout"; readonly at: Moment },
): EntryEffect {
  const { requestId } = request;
  const upstream = triedUpstreams.at(-1) ?? "";
  const { error, at } = end;
  return recordStopped(state, { requestId, phase, upstream, error }, at.wall);
}
