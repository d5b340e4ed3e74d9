import type { Member } from "@lavenderferry/fleet";
import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";
import { nextId } from "../state.ts";
import { count, recordDecision } from "../util/effects.ts";

/** Peers that one request is offered to. */
const maxPeers = 5;

/**
 * Milliseconds by which the peer's deadline is earlier, so that its final answer
 * arrives before the own deadline.
 */
const answerMarginMs = 25;

/** Whether the current attempt of a request was sent to a peer. */
export function isAtPeer({ peers, upstream }: RelayedRequest): boolean {
  return peers.length > 0 && peers.at(-1) === upstream;
}

/**
 * Sends a request that has no current attempt to a peer, which places it, if this
 * process reaches no upstream. Returns `null` if it is not to be forwarded: a
 * request is forwarded once, and a copy of memory is used by its own process.
 */
export function forwardRequest(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] | null {
  if (
    !state.reachability.isIsolated || request.isForwarded ||
    request.resumption !== null || request.runs > 0
  ) {
    return null;
  }
  const peer = choosePeer(state, request, at);
  if (peer === undefined) {
    return null;
  }
  const attemptId = nextId(state);
  request.attemptId = attemptId;
  request.upstream = peer.id;
  request.peers = [...request.peers, peer.id];
  request.phase = "sent";
  request.firstEventAt = null;
  const { exchangeId, requestId, route, workspace, deadline } = request;
  return [
    recordDecision(state, {
      kind: "choose",
      subject: requestId,
      reason: "peer",
      figures: { upstream: peer.id, peers: request.peers.length },
    }, at),
    count("attempts", route.name),
    {
      kind: "send_request",
      attemptId,
      exchangeId,
      target: {
        id: peer.id,
        address: peer.address,
        instance: "",
        isLimited: false,
        isBrittle: false,
        isPeer: true,
      },
      streaming: route.streaming,
      workspace,
      deadline: deadline - answerMarginMs,
      copyTo: null,
      urgency: null,
      resumption: null,
    },
  ];
}

/** States of peers that may take a request, the best first. */
const usableStates = ["live", "suspected", "gone"] as const;

/**
 * Chooses one of the peers in the best state at random, so that they share the
 * work evenly. One that does not answer exchanges may still serve; a gone one must
 * still be listed by the store.
 */
function choosePeer(
  { fleet, settings, random, avoidedPeers, members }: RelayState,
  { peers }: RelayedRequest,
  at: Moment,
): Member | undefined {
  if (peers.length >= maxPeers) {
    return undefined;
  }
  const usable = fleet.membership.all().filter((member) =>
    member.id !== settings.vm && member.address !== "" &&
    !peers.includes(member.id) &&
    (avoidedPeers.get(member.id) ?? 0) <= at.monotonic
  );
  const listed = new Set(members.map(({ id }) => id));
  for (const usableState of usableStates) {
    const candidates = usable.filter(({ id, state }) =>
      state === usableState && (state !== "gone" || listed.has(id))
    );
    if (candidates.length > 0) {
      return candidates[random.integerBelow(candidates.length)];
    }
  }
  return undefined;
}
