import type { Mark, MarkReason } from "@lavenderferry/fleet";
import { markReasons } from "@lavenderferry/fleet";
import type { StoreVersion, Vm } from "@lavenderferry/platform";
import { eraOf, toStoreVersion, versionInEra } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import type { KnownUpstream, RelayState } from "../state.ts";
import { evacuatedReason, isEvacuated } from "../upstreams/evacuations.ts";

/** What is compared with a mark. */
interface Comparison {
  readonly mark: Mark;
  readonly upstream: KnownUpstream;
  /**
   * Version of the row in the era of the mark, if the row may be older than the
   * mark although it was read in a later era; else `null`.
   */
  readonly copiedVersion: StoreVersion | null;
  /** Whether the rows of ended upstreams have lapsed since the restore. */
  readonly isRowTrusted: boolean;
}

/** Whether a mark is newer than what the list says of an upstream. */
type MarkRule = (comparison: Comparison) => boolean;

const isNewerThanRow: MarkRule = ({ mark, upstream, copiedVersion }) =>
  mark.version >= (copiedVersion ?? upstream.version ?? 0);

/** An absence has no row, so it is compared with the list as a whole. */
const isNewerThanList: MarkRule = (
  { mark, upstream, copiedVersion, isRowTrusted },
) =>
  copiedVersion === null || isRowTrusted
    ? mark.version > upstream.listedIn
    : mark.version >= copiedVersion;

/**
 * An upstream's own word overrides its row, which lags. A restarted upstream has
 * another id.
 */
const isFinal: MarkRule = () => true;

const markRules: Readonly<Record<MarkReason, MarkRule>> = {
  draining: isFinal,
  leaving: isNewerThanRow,
  gone: isNewerThanList,
};

/**
 * Whether a row may be that of the copy from which the store was restored: it
 * has not been written since the first read in its era.
 */
function isCopied(
  { eraStart }: Pick<RelayState, "eraStart">,
  { version = 0 }: Pick<Vm, "version">,
): boolean {
  return eraStart !== null && version > 0 && version <= eraStart.version;
}

/**
 * Returns why an upstream takes no new requests, or `null` if it does. That it is
 * leaving comes first, as what it runs must then be moved.
 */
export function findCloseReason(
  state: Pick<
    RelayState,
    "fleet" | "closeReasons" | "eraStart" | "upstreams"
  >,
  upstream: KnownUpstream,
  at: Moment,
): string | null {
  return findDepartureReason(state, upstream, at) ??
    (isEvacuated(state, upstream.id) ? evacuatedReason : null);
}

/**
 * Returns why an upstream leaves, or `null` if it stays. Compares versions, so the
 * order in which the list and the marks of peers are received does not matter.
 */
function findDepartureReason(
  state: Pick<RelayState, "fleet" | "closeReasons" | "eraStart">,
  upstream: KnownUpstream,
  at: Moment,
): string | null {
  const { fleet, closeReasons, eraStart } = state;
  if (upstream.isRemoved) {
    return markReasons.gone;
  }
  if (closeReasons.get(upstream.id) === markReasons.draining) {
    return markReasons.draining;
  }
  if (upstream.state !== "live") {
    return upstream.state;
  }
  const mark = fleet.marks.get(upstream.id);
  if (mark === undefined) {
    return null;
  }
  const rule = isMarkReason(mark.reason)
    ? markRules[mark.reason]
    : isNewerThanRow;
  const { version = 0 } = upstream;
  const markEra = eraOf(mark.version);
  const copiedVersion = markEra < eraOf(version) && isCopied(state, upstream)
    ? toStoreVersion(markEra, versionInEra(version))
    : null;
  const isRowTrusted = at.monotonic >= (eraStart?.rowsTrustedFrom ?? 0);
  return rule({ mark, upstream, copiedVersion, isRowTrusted })
    ? mark.reason
    : null;
}

function isMarkReason(reason: string): reason is MarkReason {
  return reason in markReasons;
}
