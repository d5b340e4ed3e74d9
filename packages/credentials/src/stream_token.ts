import { sign, signatureMatches } from "./util/sign.ts";

/** Identifies a generation, so that any entry can resume its stream. */
export interface StreamToken {
  readonly requestId: string;
  readonly generationId: string;
  /** Upstream that runs the generation. */
  readonly upstream: string;
  readonly workspace: string;
  readonly workClass: string;
  readonly model: string;
  /** Peer address of the entry that serves the stream. */
  readonly entryAddress: string;
}

/** Position of a reader in the stream of a generation. */
export interface StreamPosition {
  readonly token: StreamToken;
  /** Index of the last generated token that the reader has received. */
  readonly index: number;
}

/** Signs a token; an event id is the signed token, a dot and an index. */
export function signStreamToken(token: StreamToken, secret: string): string {
  const fields = [
    token.requestId,
    token.generationId,
    token.upstream,
    token.workspace,
    token.workClass,
    token.model,
    token.entryAddress,
  ];
  const text = Buffer.from(JSON.stringify(fields)).toString("base64url");
  return `${text}.${sign(text, secret)}`;
}

/** Parses an event id; `null` when it is malformed or its signature invalid. */
export function verifyEventId(
  eventId: string,
  secret: string,
): StreamPosition | null {
  const [text, signature, index, ...rest] = eventId.split(".");
  if (
    text === undefined || signature === undefined || index === undefined ||
    rest.length > 0 || !/^(0|[1-9]\d{0,8})$/.test(index)
  ) {
    return null;
  }
  if (!signatureMatches(text, signature, secret)) {
    return null;
  }
  return { token: parseToken(text), index: Number(index) };
}

function parseToken(text: string): StreamToken {
  const fields = JSON.parse(
    Buffer.from(text, "base64url").toString(),
  ) as string[];
  const [
    requestId = "",
    generationId = "",
    upstream = "",
    workspace = "",
    workClass = "",
    model = "",
    entryAddress = "",
  ] = fields;
  return {
    requestId,
    generationId,
    upstream,
    workspace,
    workClass,
    model,
    entryAddress,
  };
}
