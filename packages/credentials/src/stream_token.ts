import { sign, signatureMatches } from "./util/sign.ts";

/** Names one generation so that any entry can continue its stream. */
export interface StreamToken {
  readonly requestId: string;
  readonly generationId: string;
  /** Upstream that runs the generation. */
  readonly upstream: string;
  readonly workspace: string;
  readonly workClass: string;
  readonly model: string;
  /** Peer address of the entry that carries the stream. */
  readonly carrier: string;
}

/** Position in the stream of one generation. */
export interface StreamPosition {
  readonly token: StreamToken;
  /** Index of the last token that the reader holds. */
  readonly index: number;
}

/** Signs the token; an event id is the signed token, a dot and an index. */
export function signStreamToken(token: StreamToken, secret: string): string {
  const fields = [
    token.requestId,
    token.generationId,
    token.upstream,
    token.workspace,
    token.workClass,
    token.model,
    token.carrier,
  ];
  const text = Buffer.from(JSON.stringify(fields)).toString("base64url");
  return `${text}.${sign(text, secret)}`;
}

/** Reads an event id; `null` when it was not signed with the secret. */
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
    carrier = "",
  ] = fields;
  return {
    requestId,
    generationId,
    upstream,
    workspace,
    workClass,
    model,
    carrier,
  };
}
