import type { Timer } from "./timers.ts";

/** Events of the process itself. */
export type ProcessEvent =
  | { readonly kind: "started"; readonly peerAddress: string }
  | { readonly kind: "timer_fired"; readonly timer: Timer }
  | { readonly kind: "stop_requested" };
