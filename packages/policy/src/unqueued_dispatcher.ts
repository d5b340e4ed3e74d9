import type { Moment } from "@lavenderferry/runtime";
import type {
  CacheChange,
  Demand,
  Dispatcher,
  DispatchOutcome,
  EngineDescription,
  LengthSketch,
  LoadReport,
  PeerShare,
  Placement,
  ReleasedDemand,
  SentGeneration,
  TransferOptions,
} from "./dispatcher.ts";

/** Base of dispatchers without a backlog; ignores events they do not use. */
export abstract class UnqueuedDispatcher implements Dispatcher {
  readonly waiting = 0;

  abstract addEngine(engine: EngineDescription, at: Moment): void;
  abstract removeEngine(id: string): void;
  abstract loadReported(id: string, report: LoadReport, at: Moment): void;
  abstract place(demand: Demand, at: Moment): Placement;

  loadReportFailed(_id: string, _at: Moment): void {}

  cacheChanged(_id: string, _change: CacheChange): void {}

  peerChanged(
    _peer: string,
    _shares: readonly PeerShare[],
    _at: Moment,
  ): void {}

  learnLengths(_peer: string, _sketches: readonly LengthSketch[]): void {}

  takeChangedLengths(): readonly LengthSketch[] {
    return [];
  }

  shares(): readonly PeerShare[] {
    return [];
  }

  withdraw(_requestId: string): void {}

  release(_at: Moment): readonly ReleasedDemand[] {
    return [];
  }

  chooseTransferTarget(demand: Demand, { at }: TransferOptions): string | null {
    const placement = this.place(demand, at);
    return placement.kind === "dispatch" ? placement.engine : null;
  }

  sent(_sent: SentGeneration, _at: Moment): void {}

  progressed(_generationId: string, _tokens: number, _at: Moment): void {}

  ended(_generationId: string, _outcome: DispatchOutcome, _at: Moment): void {}
}
