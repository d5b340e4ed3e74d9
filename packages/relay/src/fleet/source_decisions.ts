import type { ErrorKind } from "@lavenderferry/errors";
import type { Vm } from "@lavenderferry/platform";
import { versionInEra } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";

/** Records what became of the store. */
export function recordStoreState(
  state: RelayState,
  { reason, figures, at }: {
    readonly reason: "reached" | "restored" | "lost" | "regained";
    readonly figures: Readonly<Record<string, string | number>>;
    readonly at: Moment;
  },
): RelayEffect {
  const kind = "member";
  return recordDecision(state, { kind, subject: "store", reason, figures }, at);
}

/** Records that an upstream was closed or opened. */
export function recordState(
  state: RelayState,
  subject: string,
  { reason, cause = "", at }: {
    readonly reason: "closed" | "opened";
    readonly cause?: string;
    readonly at: Moment;
  },
): RelayEffect {
  const listVersion = versionInEra(state.upstreamsVersion);
  const figures = { upstream: true, cause, listVersion };
  return recordDecision(
    state,
    { kind: "member", subject, reason, figures },
    at,
  );
}

/** Records what the list says of an upstream. */
export function recordUpstream(
  state: RelayState,
  vm: Vm,
  at: Moment,
): RelayEffect {
  const { id, address, dataCentre, pool = "" } = vm;
  const version = versionInEra(vm.version ?? 0);
  const listVersion = versionInEra(state.upstreamsVersion);
  return recordDecision(state, {
    kind: "member",
    subject: id,
    reason: vm.state,
    figures: {
      upstream: true,
      address,
      dataCentre,
      pool,
      version,
      listVersion,
    },
  }, at);
}

/** Records why an operation of the store failed. */
export function recordFailure(
  state: RelayState,
  operation: string,
  { error: reason, detail, at }: {
    readonly error: ErrorKind;
    readonly detail: string;
    readonly at: Moment;
  },
): RelayEffect {
  const figures = { operation, detail };
  return recordDecision(
    state,
    { kind: "retry", subject: "store", reason, figures },
    at,
  );
}

/** Records a row that cannot be read. */
export function recordUnreadable(
  state: RelayState,
  subject: string,
  { version = -1, at }: { readonly version?: number; readonly at: Moment },
): RelayEffect {
  const figures = { version };
  const reason = "unreadable";
  return recordDecision(
    state,
    { kind: "configure", subject, reason, figures },
    at,
  );
}
