import type { Change } from "@lavenderferry/configuration";
import { ConfigurationStore } from "@lavenderferry/configuration";
import { toFailure } from "@lavenderferry/errors";
import { readCosts } from "@lavenderferry/ledger";
import type { PlatformClient } from "@lavenderferry/platform";
import type { DecisionRecord, PeerClients } from "@lavenderferry/protocol";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import type { PendingReplies } from "../process/pending_replies.ts";
import { readDifference, readHistory } from "./configuration_history.ts";
import type { OperatorEffect, PeerAddress } from "./operator_effect.ts";

/** Dependencies of the handlers of operators' effects. */
export interface OperatorRunnerOptions {
  readonly platform: PlatformClient;
  readonly peers: PeerClients;
  readonly replies: PendingReplies;
}

/** Creates the handlers of operators' effects. */
export function createOperatorHandlers(
  { platform, peers: clients, replies }: OperatorRunnerOptions,
): EffectHandlers<StewardEvent, OperatorEffect> {
  const configurations = new ConfigurationStore(platform);
  return {
    accept_change: ({ replyId, change }, dispatch) => {
      configurations.accept(change).then(
        (configuration) =>
          dispatch({ kind: "change_accepted", replyId, configuration }),
        async (error: unknown) => {
          const failure = toFailure(error);
          const details = failure.kind === "conflict"
            ? await describeConflict(configurations, change)
            : {};
          dispatch({ kind: "operation_failed", replyId, failure, details });
        },
      );
    },
    read_history: ({ replyId, after }, dispatch) => {
      readHistory(configurations, after).then(
        (versions) =>
          dispatch({ kind: "operation_done", replyId, body: { versions } }),
        createFailureHandler(replyId, dispatch),
      );
    },
    read_diff: ({ replyId, from, to }, dispatch) => {
      readDifference(configurations, { from, to }).then(
        (body) => dispatch({ kind: "operation_done", replyId, body }),
        createFailureHandler(replyId, dispatch),
      );
    },
    drain_peer: ({ replyId, peer: { id, address } }, dispatch) => {
      clients.at(address).drain({}).then(
        ({ running }) => {
          const body = { vm: id, running };
          dispatch({ kind: "operation_done", replyId, body });
        },
        createFailureHandler(replyId, dispatch),
      );
    },
    read_costs: ({ replyId, period }, dispatch) => {
      readCosts(platform, period).then(
        (lines) => {
          const costs = lines.map((line) => ({
            ...line,
            microUnits: String(line.microUnits),
          }));
          dispatch({ kind: "operation_done", replyId, body: { costs } });
        },
        createFailureHandler(replyId, dispatch),
      );
    },
    query_peers: ({ replyId, subject, peers }, dispatch) => {
      void queryPeers(clients, subject, peers).then((decisions) => {
        const body = { subject, decisions };
        dispatch({ kind: "operation_done", replyId, body });
      });
    },
    answer_operator: ({ replyId, body, version }) =>
      replies.resolve(replyId, { body, version }),
    refuse_operator: ({ replyId, failure, details }) =>
      replies.resolve(replyId, { failure, details }),
  };
}

function createFailureHandler(
  replyId: string,
  dispatch: Dispatch<StewardEvent>,
): (error: unknown) => void {
  return function handleFailure(error) {
    const failure = toFailure(error);
    dispatch({ kind: "operation_failed", replyId, failure });
  };
}

/** Returns the changes since `ifVersion`; empty if they cannot be read. */
async function describeConflict(
  store: ConfigurationStore,
  { ifVersion }: Change,
): Promise<object> {
  try {
    const { to, changes } = await readDifference(store, { from: ifVersion });
    return { currentVersion: to, changes };
  } catch {
    return {};
  }
}

async function queryPeers(
  clients: PeerClients,
  subject: string,
  peers: readonly PeerAddress[],
): Promise<readonly DecisionRecord[]> {
  const replies = await Promise.all(
    peers.map(async ({ address }) => {
      try {
        return (await clients.at(address).explain({ subject })).decisions;
      } catch {
        return [];
      }
    }),
  );
  return replies.flat().sort((a, b) => Number(a.at) - Number(b.at));
}
