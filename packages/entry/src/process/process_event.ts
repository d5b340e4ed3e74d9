import type { Timer } from "./timers.ts";

/** Events of the process itself. */
export type ProcessEvent =
  | { readonly kind: "started"; readonly peerAddress: string }
  | { readonly kind: "timer_fired"; readonly timer: Timer }
  | {
    /** A peer asked for a planned stop. */
    readonly kind: "stop_requested";
  }
  | {
    /** A signal asked for a planned stop, or for its end if it is the second. */
    readonly kind: "stop_signalled";
  };
