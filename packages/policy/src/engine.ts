import { hashText } from "@lavenderferry/runtime";
import type { EngineDescription } from "./dispatcher.ts";
import { Circuit } from "./circuit.ts";
import { EngineView } from "./engine_view.ts";
import { KnownPrefixes } from "./known_prefixes.ts";
import type { PoolStatistics } from "./pool_statistics.ts";

/** State that the adaptive policy keeps for one engine. */
export class Engine {
  readonly id: string;
  readonly dataCentre: string;
  readonly hash: number;
  /** Maximum number of concurrent requests; `Infinity`: not declared. */
  readonly slots: number;
  readonly view: EngineView;
  readonly circuit = new Circuit();
  readonly prefixes = new KnownPrefixes();
  /** Whether new work may be dispatched to it. */
  acceptsWork = true;

  constructor(
    description: EngineDescription,
    lagCorrection: boolean,
    statistics: PoolStatistics,
  ) {
    this.id = description.id;
    this.dataCentre = description.dataCentre;
    this.hash = hashText(description.id);
    this.slots = description.slots ?? Infinity;
    this.view = new EngineView(lagCorrection, statistics);
  }

  /** Whether the engine accepts work for a model. */
  serves(model: string): boolean {
    const { report } = this.view;
    return this.acceptsWork &&
      (report === null || (!report.draining && report.models.includes(model)));
  }
}
