import type { Failure } from "@lavenderferry/errors";
import { KnownError } from "@lavenderferry/errors";
import type {
  ChannelCredentials,
  ClientUnaryCall,
  requestCallback,
} from "@grpc/grpc-js";
import { credentials, status } from "@grpc/grpc-js";
import type { DocumentPart__Output } from "./generated/lavenderferry/v1/DocumentPart.ts";
import type { DocumentRequest } from "./generated/lavenderferry/v1/DocumentRequest.ts";
import type { DrainReply__Output } from "./generated/lavenderferry/v1/DrainReply.ts";
import type { DrainRequest } from "./generated/lavenderferry/v1/DrainRequest.ts";
import type {
  ExchangeMessage,
  ExchangeMessage__Output,
} from "./generated/lavenderferry/v1/ExchangeMessage.ts";
import type { ExplainReply__Output } from "./generated/lavenderferry/v1/ExplainReply.ts";
import type { ExplainRequest } from "./generated/lavenderferry/v1/ExplainRequest.ts";
import type { HoldReply__Output } from "./generated/lavenderferry/v1/HoldReply.ts";
import type { HoldRequest } from "./generated/lavenderferry/v1/HoldRequest.ts";
import type { SettleReply__Output } from "./generated/lavenderferry/v1/SettleReply.ts";
import type { SettleRequest } from "./generated/lavenderferry/v1/SettleRequest.ts";
import type { TakeOverReply__Output } from "./generated/lavenderferry/v1/TakeOverReply.ts";
import type { TakeOverRequest } from "./generated/lavenderferry/v1/TakeOverRequest.ts";
import type { PeerClient as GeneratedClient } from "./generated/lavenderferry/v1/Peer.ts";
import { ExchangeStream } from "./exchange_stream.ts";
import { maxMessageBytes } from "./limits.ts";
import { peerService } from "./peer_service.ts";
import { toPeerFailure } from "./to_peer_failure.ts";

const callTimeoutMs = 1_000;

/** Milliseconds between two pings, which detect a dead connection. */
const keepAliveMs = 2_000;

/** Milliseconds after which an unanswered ping closes the connection. */
const keepAliveTimeoutMs = 1_000;

/** Client of one peer; every call has a deadline. */
export class PeerClient {
  readonly #client: GeneratedClient;
  readonly #blocked: boolean;
  #stream: ExchangeStream | null = null;
  /** Monotonic milliseconds at which the last part of a document arrived. */
  #partReceivedAt = -Infinity;
  /** Whether the peer is of a build that exchanges by single calls only. */
  #usesSingleCalls = false;

  /** A blocked client sends nothing: every call fails as `stranger`. */
  constructor(
    address: string,
    channel: ChannelCredentials = credentials.createInsecure(),
    blocked = false,
  ) {
    this.#blocked = blocked;
    this.#client = new peerService(address, channel, {
      "grpc.max_receive_message_length": maxMessageBytes,
      "grpc.max_send_message_length": maxMessageBytes,
      "grpc.initial_reconnect_backoff_ms": 100,
      "grpc.max_reconnect_backoff_ms": 2_000,
      "grpc.enable_http_proxy": 0,
      "grpc.enable_channelz": 0,
      "grpc.keepalive_time_ms": keepAliveMs,
      "grpc.keepalive_timeout_ms": keepAliveTimeoutMs,
    });
  }

  /** Sends the changes since the last exchange and returns the peer's. */
  async exchange(message: ExchangeMessage): Promise<ExchangeMessage__Output> {
    if (this.#blocked) {
      throw plainConnectionFailure();
    }
    if (!this.#usesSingleCalls) {
      try {
        return await this.#openStream().send(message);
      } catch (error) {
        // An earlier build has no such call, which ends the stream.
        if (!this.#hasOnlySingleCalls()) {
          throw error;
        }
      }
    }
    return await this.#exchangeOnce(message);
  }

  /** Reads a part of a document until a deadline in monotonic milliseconds. */
  async readDocument(
    message: DocumentRequest,
    deadlineMs: number,
  ): Promise<DocumentPart__Output> {
    const timeoutMs = Math.max(0, deadlineMs - performance.now());
    const part = await this.#unary<DocumentPart__Output>((callback) =>
      this.#client.readDocument(
        message,
        { deadline: Date.now() + timeoutMs },
        callback,
      )
    );
    this.#partReceivedAt = performance.now();
    return part;
  }

  /** Sends usage batches; returns the highest settled sequence. */
  settle(message: SettleRequest): Promise<SettleReply__Output> {
    return this.#unary((callback) =>
      this.#client.settle(message, { deadline: deadline() }, callback)
    );
  }

  /** Replicates to the peer the state that a crash of this process loses. */
  hold(message: HoldRequest): Promise<HoldReply__Output> {
    return this.#unary((callback) =>
      this.#client.hold(message, { deadline: deadline() }, callback)
    );
  }

  /** Notifies the peer of a take-over; returns the tokens that it charged. */
  takeOver(message: TakeOverRequest): Promise<TakeOverReply__Output> {
    return this.#unary((callback) =>
      this.#client.takeOver(message, { deadline: deadline() }, callback)
    );
  }

  /** Returns the peer's decisions about a subject. */
  explain(message: ExplainRequest): Promise<ExplainReply__Output> {
    return this.#unary((callback) =>
      this.#client.explain(message, { deadline: deadline() }, callback)
    );
  }

  /** Requests that the peer begins its planned stop. */
  drain(message: DrainRequest): Promise<DrainReply__Output> {
    return this.#unary((callback) =>
      this.#client.drain(message, { deadline: deadline() }, callback)
    );
  }

  /** Closes the connection. */
  close(): void {
    this.#client.close();
  }

  #hasOnlySingleCalls(): boolean {
    return this.#usesSingleCalls;
  }

  #openStream(): ExchangeStream {
    this.#stream ??= new ExchangeStream(this.#client.exchangeInOrder(), {
      timeoutMs: callTimeoutMs,
      lastReceivedAt: () => this.#partReceivedAt,
      onEnd: (error) => {
        this.#stream = null;
        this.#usesSingleCalls = error?.code === status.UNIMPLEMENTED;
      },
    });
    return this.#stream;
  }

  async #exchangeOnce(
    message: ExchangeMessage,
  ): Promise<ExchangeMessage__Output> {
    try {
      return await this.#unary((callback) =>
        this.#client.exchange(message, { deadline: deadline() }, callback)
      );
    } catch (error) {
      // The peer may restart with another build.
      this.#usesSingleCalls = false;
      throw error;
    }
  }

  #unary<Reply>(
    call: (callback: requestCallback<Reply>) => ClientUnaryCall,
  ): Promise<Reply> {
    return this.#blocked
      ? Promise.reject(plainConnectionFailure())
      : unary(call);
  }
}

function plainConnectionFailure(): Failure {
  return new KnownError("A connection without TLS must stay on loopback", {
    kind: "stranger",
  });
}

function deadline(): Date {
  return new Date(Date.now() + callTimeoutMs);
}

function unary<Reply>(
  call: (callback: requestCallback<Reply>) => ClientUnaryCall,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    call((error, reply) => {
      if (error !== null || reply === undefined) {
        reject(toPeerFailure(error));
        return;
      }
      resolve(reply);
    });
  });
}
