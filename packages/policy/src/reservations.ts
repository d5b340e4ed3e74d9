import type { Moment } from "@lavenderferry/runtime";
import type { Engine } from "./engine.ts";
import type { Flight } from "./engine_view.ts";

/** Demands that were released to an engine and not sent yet, by request id. */
export class Reservations {
  readonly #engines = new Map<string, Engine>();

  /** Counts a demand as in flight at an engine. */
  add(engine: Engine, flight: Flight, at: Moment): void {
    const { requestId } = flight.demand;
    this.#engines.set(requestId, engine);
    engine.view.addFlight(reservationOf(requestId), flight, at);
  }

  /** Removes the reservation of a request. */
  remove(requestId: string, at: Moment): void {
    const view = this.#engines.get(requestId)?.view;
    view?.removeFlight(reservationOf(requestId), at);
    this.#engines.delete(requestId);
  }

  /** Removes all reservations. */
  clear(at: Moment): void {
    for (const requestId of [...this.#engines.keys()]) {
      this.remove(requestId, at);
    }
  }
}

function reservationOf(requestId: string): string {
  return `reserved/${requestId}`;
}
