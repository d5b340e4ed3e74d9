import type { Configuration } from "@lavenderferry/configuration";
import { KnownError } from "@lavenderferry/errors";
import { usageIntervalMs } from "@lavenderferry/ledger";
import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import { sendDueExchanges } from "@lavenderferry/fleet";
import type { StewardState } from "../state.ts";
import type { Operation, OperatorEvent } from "./operator_event.ts";

/** Handles operators' requests and replies with their results. */
export const operatorPart: EventHandlers<
  StewardState,
  OperatorEvent,
  StewardEffect
> = {
  operator_requested: (state, event) => {
    const { operation, replyId } = event;
    const handler = operations[operation.kind] as OperationHandler<Operation>;
    state.openReplies.add(replyId);
    return closeReplies(state, handler(state, operation, event));
  },
  change_accepted: (state, { replyId, configuration, at }) => {
    state.timeline.add(configuration);
    state.fleet.applyConfiguration(configuration);
    const { version, effectiveAt } = configuration;
    return closeReplies(state, [
      ...sendDueExchanges(state, at),
      {
        kind: "log",
        part: "operators",
        sentence: "Accepted a change",
        fields: { version, author: configuration.author, effectiveAt },
      },
      {
        kind: "answer_operator",
        replyId,
        body: { version, effectiveAt: new Date(effectiveAt).toISOString() },
        version,
      },
    ]);
  },
  operation_done: (state, { replyId, body }) =>
    closeReplies(state, [{ kind: "answer_operator", replyId, body }]),
  operation_failed: (state, { replyId, failure, details }) =>
    closeReplies(state, [
      { kind: "refuse_operator", replyId, failure, details },
    ]),
};

/** Marks the requests that the effects answer as answered. */
function closeReplies(
  state: StewardState,
  effects: readonly StewardEffect[],
): readonly StewardEffect[] {
  for (const effect of effects) {
    if (
      effect.kind === "answer_operator" || effect.kind === "refuse_operator"
    ) {
      state.openReplies.delete(effect.replyId);
    }
  }
  return effects;
}

function summarize({ version, effectiveAt, author }: Configuration): object {
  return { version, effectiveAt, author };
}

interface Request
  extends
    Omit<Extract<OperatorEvent, { kind: "operator_requested" }>, "operation"> {
  readonly at: Moment;
}

type OperationHandler<Requested extends Operation> = (
  state: StewardState,
  operation: Requested,
  request: Request,
) => readonly StewardEffect[];

type Operations = {
  readonly [Kind in Operation["kind"]]: OperationHandler<
    Extract<Operation, { kind: Kind }>
  >;
};

const operations: Operations = {
  read_configuration: (state, _operation, { replyId }) => {
    const { version, statement, effectiveAt, author } = state.timeline.latest;
    const body = { version, effectiveAt, author, ...statement };
    return [{ kind: "answer_operator", replyId, body, version }];
  },
  apply: (state, operation, { replyId, operator, at }) => {
    if (state.stopping) {
      const failure = new KnownError("The steward is draining", {
        kind: "draining",
      });
      return [{ kind: "refuse_operator", replyId, failure }];
    }
    const { ifVersion, statement } = operation;
    const acceptedAt = at.wall;
    const earliest = acceptedAt + state.settings.effectiveAfterMs;
    const effectiveAt = Math.ceil(earliest / usageIntervalMs) *
      usageIntervalMs;
    const change = {
      ifVersion,
      author: operator,
      statement,
      acceptedAt,
      effectiveAt,
    };
    return [{ kind: "accept_change", replyId, change }];
  },
  read_history: (_state, { after }, { replyId }) => [
    { kind: "read_history", replyId, after },
  ],
  read_diff: (_state, { from, to }, { replyId }) => [
    { kind: "read_diff", replyId, from, to },
  ],
  read_costs: (_state, { period }, { replyId }) => [
    { kind: "read_costs", replyId, period },
  ],
  drain: (state, { vm }, { replyId }) => {
    const targetVm = state.vms.find(({ id }) => id === vm);
    if (targetVm?.peers === undefined) {
      const failure = new KnownError(
        targetVm === undefined
          ? `VM "${vm}" does not exist`
          : `VM "${vm}" runs no Lavenderferry process`,
        { kind: targetVm === undefined ? "not_found" : "bad_request" },
      );
      return [{ kind: "refuse_operator", replyId, failure }];
    }
    const peer = { id: targetVm.id, address: targetVm.peers };
    return [{ kind: "drain_peer", replyId, peer }];
  },
  read_status: (state, _operation, { replyId, at }) => {
    const { latest } = state.timeline;
    const inForce = state.timeline.at(at.wall);
    const vms = state.vms.map(({ id, role, dataCentre, state: vmState }) => ({
      id,
      role,
      dataCentre,
      state: vmState,
    }));
    const members = state.fleet.membership.all()
      .map(({ id, role, dataCentre, epoch, state: memberState }) => ({
        id,
        role,
        dataCentre,
        epoch,
        state: memberState,
      }));
    const body = {
      version: latest.version,
      inForce: summarize(inForce),
      accepted: summarize(latest),
      vms,
      members,
      duties: state.fleet.duties.all(),
    };
    return [{ kind: "answer_operator", replyId, body }];
  },
  explain: (state, { subject }, { replyId }) => {
    const peers = state.vms.flatMap(({ id, peers }) =>
      peers === undefined ? [] : [{ id, address: peers }]
    );
    return [{ kind: "query_peers", replyId, subject, peers }];
  },
};
