import type { Failure } from "@lavenderferry/errors";
import type { ClientDuplexStream, ServiceError } from "@grpc/grpc-js";
import type {
  ExchangeMessage,
  ExchangeMessage__Output,
} from "./generated/lavenderferry/v1/ExchangeMessage.ts";
import { toPeerFailure } from "./to_peer_failure.ts";

/** A stream of exchange requests and their replies. */
type Call = ClientDuplexStream<ExchangeMessage, ExchangeMessage__Output>;

interface PendingRequest {
  readonly resolve: (reply: ExchangeMessage__Output) => void;
  readonly reject: (failure: Failure) => void;
  /** Fires when the reply is overdue, unless that is put off. */
  timer: NodeJS.Timeout;
  readonly sentAt: number;
}

/**
 * Longest wait for a reply, as a multiple of the time-out, while the peer sends
 * other bytes.
 */
const maxTimeouts = 3;

/**
 * Exchanges with one peer over a stream that stays open, as a call of its own
 * for each exchange costs several times the processor time. Replies come in the
 * order of the requests; any failure ends the stream with all open requests.
 */
export class ExchangeStream {
  readonly #call: Call;
  readonly #pending: PendingRequest[] = [];
  readonly #onEnd: (error: ServiceError | null) => void;
  readonly #timeoutMs: number;
  readonly #lastReceivedAt: () => number;
  #ended = false;

  constructor(call: Call, { timeoutMs, onEnd, lastReceivedAt }: {
    /** Milliseconds until a request without a reply fails. */
    readonly timeoutMs: number;
    /** Called once, when the stream has ended. */
    readonly onEnd: (error: ServiceError | null) => void;
    /** Returns the monotonic time at which the peer last sent anything else. */
    readonly lastReceivedAt: () => number;
  }) {
    this.#call = call;
    this.#timeoutMs = timeoutMs;
    this.#onEnd = onEnd;
    this.#lastReceivedAt = lastReceivedAt;
    call.on("data", (reply: ExchangeMessage__Output) => {
      const request = this.#pending.shift();
      clearTimeout(request?.timer);
      request?.resolve(reply);
    });
    call.on("error", (error: ServiceError) => this.#end(error));
    call.on("end", () => this.#end(null));
  }

  /** Sends a request and resolves to its reply. */
  send(message: ExchangeMessage): Promise<ExchangeMessage__Output> {
    return new Promise((resolve, reject) => {
      const sentAt = performance.now();
      const timer = setTimeout(() => this.#check(request), this.#timeoutMs);
      const request: PendingRequest = { resolve, reject, timer, sentAt };
      this.#pending.push(request);
      this.#call.write(message);
    });
  }

  /** Puts the time-out off if the peer has sent anything since it began. */
  #check(request: PendingRequest): void {
    const now = performance.now();
    const dueAt = Math.min(
      this.#lastReceivedAt() + this.#timeoutMs,
      request.sentAt + maxTimeouts * this.#timeoutMs,
    );
    if (dueAt <= now) {
      this.#end(null);
      return;
    }
    request.timer = setTimeout(() => this.#check(request), dueAt - now);
  }

  #end(error: ServiceError | null): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#call.cancel();
    this.#onEnd(error);
    for (const { reject, timer } of this.#pending.splice(0)) {
      clearTimeout(timer);
      reject(toPeerFailure(error));
    }
  }
}
