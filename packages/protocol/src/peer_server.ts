import { KnownError, toFailure } from "@lavenderferry/errors";
import type {
  handleBidiStreamingCall,
  handleUnaryCall,
  ServerUnaryCall,
  StatusObject,
} from "@grpc/grpc-js";
import { Server, ServerCredentials, status } from "@grpc/grpc-js";
import type { DocumentPart } from "./generated/lavenderferry/v1/DocumentPart.ts";
import type { DocumentRequest__Output } from "./generated/lavenderferry/v1/DocumentRequest.ts";
import type { DrainReply } from "./generated/lavenderferry/v1/DrainReply.ts";
import type { DrainRequest__Output } from "./generated/lavenderferry/v1/DrainRequest.ts";
import type {
  ExchangeMessage,
  ExchangeMessage__Output,
} from "./generated/lavenderferry/v1/ExchangeMessage.ts";
import type { ExplainReply } from "./generated/lavenderferry/v1/ExplainReply.ts";
import type { ExplainRequest__Output } from "./generated/lavenderferry/v1/ExplainRequest.ts";
import type { HoldReply } from "./generated/lavenderferry/v1/HoldReply.ts";
import type { HoldRequest__Output } from "./generated/lavenderferry/v1/HoldRequest.ts";
import type { SettleReply } from "./generated/lavenderferry/v1/SettleReply.ts";
import type { SettleRequest__Output } from "./generated/lavenderferry/v1/SettleRequest.ts";
import type { TakeOverReply } from "./generated/lavenderferry/v1/TakeOverReply.ts";
import type { TakeOverRequest__Output } from "./generated/lavenderferry/v1/TakeOverRequest.ts";
import type { PeerHandlers } from "./generated/lavenderferry/v1/Peer.ts";
import { maxCallsPerConnection, maxMessageBytes } from "./limits.ts";
import { peerService } from "./peer_service.ts";

/** The part of a call that identifies the caller. */
type Caller = Pick<ServerUnaryCall<unknown, unknown>, "getAuthContext">;

type Method<Request, Reply> = (
  request: Request,
  call: Caller,
) => Promise<Reply>;

/** Implementation of the calls of the Peer service. */
export interface PeerMethods {
  exchange(message: ExchangeMessage__Output): Promise<ExchangeMessage>;
  settle(message: SettleRequest__Output): Promise<SettleReply>;
  hold(message: HoldRequest__Output): Promise<HoldReply>;
  takeOver(message: TakeOverRequest__Output): Promise<TakeOverReply>;
  explain(message: ExplainRequest__Output): Promise<ExplainReply>;
  drain(message: DrainRequest__Output): Promise<DrainReply>;
  /** Absent in a process that serves no documents. */
  readDocument?(message: DocumentRequest__Output): Promise<DocumentPart>;
}

/** Server of the Peer service on one socket. */
export class PeerServer {
  readonly #server: Server;
  readonly #credentials: ServerCredentials;
  #unauthenticatedCalls = 0;

  constructor(
    methods: PeerMethods,
    credentials: ServerCredentials = ServerCredentials.createInsecure(),
  ) {
    this.#credentials = credentials;
    this.#server = new Server({
      "grpc.max_receive_message_length": maxMessageBytes,
      "grpc.max_send_message_length": maxMessageBytes,
      "grpc.max_concurrent_streams": maxCallsPerConnection,
      "grpc.enable_channelz": 0,
    });
    const exchange: Method<ExchangeMessage__Output, ExchangeMessage> = (
      message,
      call,
    ) => {
      this.#checkSender(call, message.sender);
      return methods.exchange(message);
    };
    const readDocument: Method<DocumentRequest__Output, DocumentPart> = (
      message,
      call,
    ) => {
      this.#checkSender(call, message.sender);
      return methods.readDocument?.(message) ?? Promise.resolve({ version: 0 });
    };
    const handlers: PeerHandlers = {
      Exchange: unary(exchange),
      ExchangeInOrder: inOrder(exchange),
      ReadDocument: unary(readDocument),
      Settle: unary((message) => methods.settle(message)),
      Hold: unary((message) => methods.hold(message)),
      TakeOver: unary((message) => methods.takeOver(message)),
      Explain: unary((message) => methods.explain(message)),
      Drain: unary((message) => methods.drain(message)),
    };
    this.#server.addService(peerService.service, handlers);
  }

  /** Number of calls whose sender the certificate did not name. */
  get unauthenticatedCalls(): number {
    return this.#unauthenticatedCalls;
  }

  /** Listens on the socket and returns its port; port 0 selects a free one. */
  listen(ip: string, port: number): Promise<number> {
    const address = ip.includes(":") ? `[${ip}]:${port}` : `${ip}:${port}`;
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(address, this.#credentials, (error, boundPort) => {
        if (error) {
          reject(error);
        } else {
          resolve(boundPort);
        }
      });
    });
  }

  /** With TLS, refuses a sender that the caller's certificate does not name. */
  #checkSender(call: Caller, sender: string): void {
    if (!this.#credentials._isSecure()) {
      return;
    }
    const context = call.getAuthContext();
    const name = context?.sslPeerCertificate?.subject.CN;
    if (name !== sender) {
      this.#unauthenticatedCalls += 1;
      throw new KnownError(`The certificate does not name "${sender}"`, {
        kind: "stranger",
      });
    }
  }

  /** Stops at once; calls in progress are cancelled. */
  close(): void {
    this.#server.forceShutdown();
  }
}

function unary<Request, Reply>(
  method: Method<Request, Reply>,
): handleUnaryCall<Request, Reply> {
  return function handle(call, callback) {
    invoke(method, call.request, call).then(
      (reply) => callback(null, reply),
      (error: unknown) => callback(toStatus(error)),
    );
  };
}

/** Replies to each request before it takes the next one. */
function inOrder<Request, Reply>(
  method: Method<Request, Reply>,
): handleBidiStreamingCall<Request, Reply> {
  return function handle(call) {
    let replied = Promise.resolve();
    call.on("data", (request: Request) => {
      const reply = invoke(method, request, call);
      // Awaited below, possibly after it has failed.
      reply.catch(() => undefined);
      replied = replied.then(async () => {
        call.write(await reply);
      }).catch((error: unknown) => {
        call.emit("error", toStatus(error));
      });
    });
    // A request that cannot be decoded ends the stream, not the process.
    call.on("error", () => undefined);
    call.on("end", () => call.end());
  };
}

async function invoke<Request, Reply>(
  method: Method<Request, Reply>,
  request: Request,
  call: Caller,
): Promise<Reply> {
  return await method(request, call);
}

function toStatus(error: unknown): Partial<StatusObject> {
  const { kind, message } = toFailure(error);
  const code = kind === "stranger"
    ? status.PERMISSION_DENIED
    : status.UNAVAILABLE;
  return { code, details: message };
}
