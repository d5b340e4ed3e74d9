import { readFinalStatus } from "@lavenderferry/errors";
import type { Dispatch } from "@lavenderferry/runtime";
import type { EventSourceParser } from "eventsource-parser";
import { createParser } from "eventsource-parser";
import type { Dispatcher } from "undici";
import { z } from "zod";
import type { EntryEvent } from "../events.ts";
import { neverSent } from "../util/never_sent.ts";
import { engineUsageSchema } from "./engine_usage.ts";
import type { EngineFailure, EngineUsage, Token } from "./generation_event.ts";
import { lostConnection } from "./generation_event.ts";

/** One connection of a generation to its engine. */
export interface Attempt {
  readonly attemptId: string;
  readonly generationId: string;
  /** Whether an earlier attempt started the generation. */
  readonly isResume: boolean;
}

const errorBodySchema = z.object({
  error: z.object({ reason: z.string() }),
  not_started: z.boolean(),
});

const maxErrorBodyCharacters = 65_536;
const endMarker = "[DONE]";

interface Choice {
  readonly text: string;
  readonly finish_reason: string | null;
}

interface Chunk {
  /** Id of the generation to which the event belongs. */
  readonly id?: string;
  readonly choices: readonly Choice[];
  readonly usage?: unknown;
}

/**
 * Parses the answer of an engine while it is received. The tokens of one chunk
 * of data are dispatched as one event.
 */
export class EngineStream implements Dispatcher.DispatchHandler {
  readonly #attempt: Attempt;
  readonly #dispatch: Dispatch<EntryEvent>;
  readonly #decoder = new TextDecoder();
  readonly #parser: EventSourceParser;
  #controller: Dispatcher.DispatchController | undefined;
  #dropped = false;
  #status = 0;
  #errorBody = "";
  #tokens: Token[] = [];
  #end: { finishReason: string; usage: EngineUsage } | undefined;
  #endMarkerReceived = false;
  #generationMismatch = false;

  constructor(attempt: Attempt, dispatch: Dispatch<EntryEvent>) {
    this.#attempt = attempt;
    this.#dispatch = dispatch;
    this.#parser = createParser({
      onEvent: ({ id, data }) => this.#readEvent(id, data),
    });
  }

  /** Closes the connection; no event is dispatched from now on. */
  drop(): void {
    this.#dropped = true;
    this.#controller?.abort(new Error("The attempt was dropped"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#dropped) {
      controller.abort(new Error("The attempt was dropped"));
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.#status = statusCode;
    if (statusCode === 200) {
      const { attemptId, generationId } = this.#attempt;
      this.#emit({ kind: "engine_accepted", attemptId, generationId });
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const text = this.#decoder.decode(chunk, { stream: true });
    if (this.#status !== 200) {
      this.#errorBody = (this.#errorBody + text).slice(
        0,
        maxErrorBodyCharacters,
      );
      return;
    }
    try {
      this.#parser.feed(text);
    } catch (error) {
      controller.abort(error as Error);
      return;
    }
    if (this.#generationMismatch) {
      controller.abort(new Error("The answer belongs to another generation"));
      return;
    }
    this.#emitTokens();
  }

  onResponseEnd(): void {
    if (this.#status !== 200) {
      this.#fail(this.#classifyErrorStatus());
    } else if (this.#end === undefined || !this.#endMarkerReceived) {
      this.#fail({ kind: "lost", reason: "short_answer" });
    } else {
      const { attemptId, generationId } = this.#attempt;
      this.#emit({
        kind: "engine_finished",
        attemptId,
        generationId,
        ...this.#end,
      });
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#generationMismatch) {
      this.#fail({ kind: "lost", reason: "other_generation" });
    } else if (!neverSent(error)) {
      this.#fail({ kind: "lost", reason: lostConnection });
    } else if (this.#attempt.isResume) {
      this.#fail({ kind: "lost", reason: "unreachable" });
    } else {
      this.#fail({ kind: "not_started", reason: "unreachable" });
    }
  }

  #readEvent(id: string | undefined, data: string): void {
    if (data === endMarker) {
      this.#endMarkerReceived = true;
      return;
    }
    const { id: answeredId, choices, usage } = JSON.parse(data) as Chunk;
    if (answeredId !== undefined && answeredId !== this.#attempt.generationId) {
      this.#generationMismatch = true;
      return;
    }
    const choice = choices[0];
    if (choice === undefined) {
      return;
    }
    if (choice.finish_reason === null) {
      this.#tokens.push({ index: Number(id), text: choice.text });
      return;
    }
    this.#end = {
      finishReason: choice.finish_reason,
      usage: engineUsageSchema.parse(usage),
    };
  }

  #emitTokens(): void {
    if (this.#tokens.length === 0) {
      return;
    }
    const { attemptId, generationId } = this.#attempt;
    const tokens = this.#tokens;
    this.#tokens = [];
    this.#emit({ kind: "tokens_received", attemptId, generationId, tokens });
  }

  #classifyErrorStatus(): EngineFailure {
    const { isResume } = this.#attempt;
    if (readFinalStatus(this.#status) === null) {
      return { kind: "lost", reason: "invalid_status" };
    }
    if (isResume && this.#status === 404) {
      return { kind: "gone" };
    }
    const parsed = errorBodySchema.safeParse(parseJson(this.#errorBody));
    if (parsed.success && parsed.data.not_started && !isResume) {
      return { kind: "not_started", reason: parsed.data.error.reason };
    }
    return { kind: "lost", reason: `status_${this.#status}` };
  }

  #fail(failure: EngineFailure): void {
    const { attemptId, generationId } = this.#attempt;
    this.#emit({ kind: "engine_failed", attemptId, generationId, failure });
  }

  #emit(event: EntryEvent): void {
    if (!this.#dropped) {
      this.#dispatch(event);
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
