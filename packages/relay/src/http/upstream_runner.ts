import type { ClientRequest } from "node:http";
import { Agent, request as sendRequest } from "node:http";
import { setTimeout } from "node:timers/promises";
import { engineCheckHandlers, parseSocketAddress } from "@lavenderferry/fleet";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { ByteBudget } from "../memory/byte_budget.ts";
import type { GenerationCopier, HeaderCodec } from "../ports.ts";
import type { UpstreamEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";
import type { Attempt } from "./answer_reader.ts";
import { AnswerReader } from "./answer_reader.ts";
import type { CallerExchange, CallerExchanges } from "./caller_exchanges.ts";
import { containFailures } from "./contain_failures.ts";
import { forwardedHeader } from "./forwarded_header.ts";
import { isHeaderValue } from "./is_header_value.ts";

/** Idle time-out of kept connections where the upstream states none. */
const idleTimeoutMs = 2_000;

/** Idle connections that one process keeps to one upstream. */
const maxIdleConnections = 8;

const maxPort = 65_535;

/** Milliseconds in which an engine sees that a connection was closed. */
const closeDelayMs = 50;

type SendRequest = Extract<UpstreamEffect, { kind: "send_request" }>;

/** Dependencies of the runner of effects on upstreams. */
export interface UpstreamRunnerOptions {
  readonly codec: HeaderCodec;
  readonly exchanges: CallerExchanges;
  readonly copier: GenerationCopier;
  /** Bounds what all answers hold. */
  readonly budget: ByteBudget;
}

/**
 * Sends requests to upstreams and reads their answers. It uses Node's own HTTP
 * client, which distinguishes truncated answers from complete ones even if they
 * have no length or the connection is not kept alive.
 */
export class UpstreamRunner {
  readonly #codec: HeaderCodec;
  readonly #exchanges: CallerExchanges;
  readonly #copier: GenerationCopier;
  readonly #budget: ByteBudget;
  readonly #attempts = new Map<string, Attempt>();
  /** Keeps connections alive for requests that may be repeated. */
  readonly #keepAliveAgent = new Agent({
    keepAlive: true,
    maxFreeSockets: maxIdleConnections,
    timeout: idleTimeoutMs,
  });

  constructor(options: UpstreamRunnerOptions) {
    this.#codec = options.codec;
    this.#exchanges = options.exchanges;
    this.#copier = options.copier;
    this.#budget = options.budget;
  }

  readonly handlers: EffectHandlers<RelayEvent, UpstreamEffect> =
    containFailures<RelayEvent, UpstreamEffect>({
      send_request: (effect, dispatch) => this.#send(effect, dispatch),
      drop_attempt: ({ attemptId }) => {
        const attempt = this.#attempts.get(attemptId);
        this.#attempts.delete(attemptId);
        if (attempt !== undefined) {
          attempt.dropped = true;
          attempt.request.destroy();
        }
      },
      check_copy: (effect, dispatch) =>
        this.#requestReport(effect, "copy_checked", dispatch),
      report_engines: (effect, dispatch) =>
        this.#requestReports(effect, dispatch),
      ...engineCheckHandlers,
      check_run: (effect, dispatch) =>
        this.#requestReport(effect, "run_checked", dispatch),
      list_runs: (effect, dispatch) =>
        this.#requestReport(effect, "runs_listed", dispatch),
      stop_generation: (effect, dispatch) =>
        void this.#stopGeneration(effect, dispatch),
      copy_generation: (effect, dispatch) => {
        const { attemptId, exchangeId } = effect;
        void this.#copier.copy(effect).then((outcome) =>
          dispatch({
            kind: "generation_copied",
            attemptId,
            exchangeId,
            outcome,
          })
        );
      },
    }, (effect, error, dispatch) => {
      if (!("exchangeId" in effect)) {
        throw error;
      }
      this.#exchanges.failExchange(effect, error, dispatch);
    });

  #requestReports(
    { engines, askedAt, deadline }: Extract<
      UpstreamEffect,
      { kind: "report_engines" }
    >,
    dispatch: Dispatch<RelayEvent>,
  ): void {
    const timeoutMs = Math.max(1, Math.ceil(deadline - performance.now()));
    for (const { id: upstream, address } of engines) {
      void this.#copier.report(address, timeoutMs).then((report) =>
        dispatch({ kind: "engine_reported", upstream, askedAt, report })
      );
    }
  }

  #requestReport(
    { attemptId, exchangeId, address }: Extract<
      UpstreamEffect,
      { kind: "check_copy" | "check_run" | "list_runs" }
    >,
    kind: "copy_checked" | "run_checked" | "runs_listed",
    dispatch: Dispatch<RelayEvent>,
  ): void {
    void this.#copier.report(address).then((report) =>
      dispatch({ kind, attemptId, exchangeId, report })
    );
  }

  async #stopGeneration(
    { requestId, from, to }: Extract<
      UpstreamEffect,
      { kind: "stop_generation" }
    >,
    dispatch: Dispatch<RelayEvent>,
  ): Promise<void> {
    await setTimeout(closeDelayMs);
    const copy = { requestId, from, to, stop: true };
    const outcome = await this.#copier.copy(copy);
    dispatch({ kind: "generation_stopped", requestId, from, outcome });
    if ("handle" in outcome && outcome.handle !== null) {
      await this.#copier.release(from, outcome.handle);
    }
  }

  #send(effect: SendRequest, dispatch: Dispatch<RelayEvent>): void {
    const { attemptId, exchangeId, target, streaming } = effect;
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      dispatch({ kind: "caller_disconnected", exchangeId });
      return;
    }
    let request: ClientRequest;
    try {
      request = this.#createRequest(effect, exchange);
    } catch (error) {
      // Node refuses addresses, paths and header values that it cannot send.
      const reason = isUsable(effect) ? "unsendable" : "unreachable";
      const detail = String(error);
      const kind = "attempt_refused";
      dispatch({ kind, attemptId, exchangeId, reason, detail });
      return;
    }
    this.#exchanges.markSent(exchangeId);
    const attempt: Attempt = { request, dropped: false };
    this.#attempts.set(attemptId, attempt);
    new AnswerReader({
      attemptId,
      exchangeId,
      streaming,
      isResumption: effect.resumption !== null,
      target,
      requestId: exchange.requestId,
      codec: this.#codec,
      attempt,
      budget: this.#budget,
      dispatch,
      onEnd: () => this.#attempts.delete(attemptId),
    }).read(request);
    request.end(exchange.body);
  }

  /** Creates the request of an attempt; throws if it cannot be sent. */
  #createRequest(
    effect: SendRequest,
    exchange: CallerExchange,
  ): ClientRequest {
    const { target, streaming } = effect;
    const { method = "GET", url = "/" } = exchange.request;
    const { ip: host, port } = parseSocketAddress(target.address);
    const isReusable = method === "GET" && !streaming && !target.isPeer;
    return sendRequest({
      host,
      port,
      method,
      path: url,
      // Node accepts an array of names and values, but its types do not.
      headers: this.#headersOf(effect, exchange) as never,
      agent: isReusable ? this.#keepAliveAgent : false,
      setHost: false,
    });
  }

  #headersOf(effect: SendRequest, exchange: CallerExchange): string[] {
    const { target, workspace, deadline, copyTo, urgency, resumption } = effect;
    const { request, body } = exchange;
    const remainingMs = Math.max(1, Math.floor(deadline - performance.now()));
    const raw = withoutForwardedHeader(request.rawHeaders);
    const headers = target.isPeer
      ? [...this.#codec.writeForwarded(raw, remainingMs), forwardedHeader, "1"]
      : this.#codec.writeAttempt(raw, {
        instance: target.instance,
        workspace,
        remainingMs,
        copyTo,
        urgency,
        resumption,
      });
    if (body.length > 0 || request.method !== "GET") {
      headers.push("Content-Length", String(body.length));
    }
    return headers;
  }
}

/** Whether Node can send requests to a target, as far as its own fields go. */
function isUsable({ target }: SendRequest): boolean {
  const { port } = parseSocketAddress(target.address);
  return port > 0 && port <= maxPort && isHeaderValue(target.instance);
}

/** Removes the mark of a request that a peer has forwarded. */
function withoutForwardedHeader(raw: readonly string[]): readonly string[] {
  const retained: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== forwardedHeader) {
      retained.push(raw[index] ?? "", raw[index + 1] ?? "");
    }
  }
  return retained;
}
