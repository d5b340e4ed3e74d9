import type { Vm } from "@lavenderferry/platform";
import type { Marks } from "./marks.ts";
import { markReasons } from "./marks.ts";

/** Finds upstreams that the VM list calls leaving and that need a mark. */
export class LeavingUpstreams {
  /**
   * Row versions, by id, of the upstreams that the latest list called live; 0
   * for those that it called leaving.
   */
  #openVersions: ReadonlyMap<string, number> = new Map();
  #listVersion = 0;

  /**
   * Returns the listed upstreams that are leaving, unless a mark of a version
   * after they were last known to be live says so. Their rows may be written
   * again, which needs no new mark.
   */
  findUnmarked(
    vms: readonly Vm[],
    { listVersion, marks }: {
      readonly listVersion: number;
      readonly marks: Marks;
    },
  ): readonly Vm[] {
    const unmarked: Vm[] = [];
    const openVersions = new Map<string, number>();
    for (const vm of vms) {
      const { id, state, role, version = 0 } = vm;
      if (role !== "engine" && role !== "service") {
        continue;
      }
      const openVersion = this.#openVersions.get(id) ?? this.#listVersion;
      openVersions.set(id, state === "live" ? version : 0);
      const mark = marks.get(id);
      const isMarked = mark !== undefined &&
        mark.reason !== markReasons.gone && mark.version >= openVersion;
      if (state === "leaving" && !isMarked) {
        unmarked.push(vm);
      }
    }
    this.#openVersions = openVersions;
    this.#listVersion = listVersion;
    return unmarked;
  }
}
