/** gRPC messages, clients and server for calls between processes. */
export type {
  ConfigurationRecord,
  ConfigurationRecord__Output,
} from "./generated/lavenderferry/v1/ConfigurationRecord.ts";
export type {
  DecisionRecord,
  DecisionRecord__Output,
} from "./generated/lavenderferry/v1/DecisionRecord.ts";
export type {
  DocumentPart,
  DocumentPart__Output,
} from "./generated/lavenderferry/v1/DocumentPart.ts";
export type {
  DocumentRequest,
  DocumentRequest__Output,
} from "./generated/lavenderferry/v1/DocumentRequest.ts";
export type {
  DrainReply,
  DrainReply__Output,
} from "./generated/lavenderferry/v1/DrainReply.ts";
export type {
  DrainRequest,
  DrainRequest__Output,
} from "./generated/lavenderferry/v1/DrainRequest.ts";
export type {
  DrainingMark,
  DrainingMark__Output,
} from "./generated/lavenderferry/v1/DrainingMark.ts";
export type {
  DutyRecord,
  DutyRecord__Output,
} from "./generated/lavenderferry/v1/DutyRecord.ts";
export type {
  EngineShare,
  EngineShare__Output,
} from "./generated/lavenderferry/v1/EngineShare.ts";
export type {
  EvacuationNews,
  EvacuationNews__Output,
} from "./generated/lavenderferry/v1/EvacuationNews.ts";
export type {
  ExchangeMessage,
  ExchangeMessage__Output,
} from "./generated/lavenderferry/v1/ExchangeMessage.ts";
export type {
  ExplainReply,
  ExplainReply__Output,
} from "./generated/lavenderferry/v1/ExplainReply.ts";
export type {
  ExplainRequest,
  ExplainRequest__Output,
} from "./generated/lavenderferry/v1/ExplainRequest.ts";
export type {
  HoldReply,
  HoldReply__Output,
} from "./generated/lavenderferry/v1/HoldReply.ts";
export type {
  HoldRequest,
  HoldRequest__Output,
} from "./generated/lavenderferry/v1/HoldRequest.ts";
export type {
  LengthSketch,
  LengthSketch__Output,
} from "./generated/lavenderferry/v1/LengthSketch.ts";
export type {
  MemberRecord,
  MemberRecord__Output,
} from "./generated/lavenderferry/v1/MemberRecord.ts";
export type {
  OpenGeneration,
  OpenGeneration__Output,
} from "./generated/lavenderferry/v1/OpenGeneration.ts";
export type {
  RequestLimit as RequestLimitRecord,
  RequestLimit__Output as RequestLimitRecord__Output,
} from "./generated/lavenderferry/v1/RequestLimit.ts";
export type {
  SettleReply,
  SettleReply__Output,
} from "./generated/lavenderferry/v1/SettleReply.ts";
export type {
  SettleRequest,
  SettleRequest__Output,
} from "./generated/lavenderferry/v1/SettleRequest.ts";
export type {
  SuspectBlock as SuspectBlockRecord,
  SuspectBlock__Output as SuspectBlockRecord__Output,
} from "./generated/lavenderferry/v1/SuspectBlock.ts";
export type {
  TakeOverReply,
  TakeOverReply__Output,
} from "./generated/lavenderferry/v1/TakeOverReply.ts";
export type {
  TakeOverRequest,
  TakeOverRequest__Output,
} from "./generated/lavenderferry/v1/TakeOverRequest.ts";
export type {
  UpstreamChange,
  UpstreamChange__Output,
} from "./generated/lavenderferry/v1/UpstreamChange.ts";
export type {
  UpstreamNews,
  UpstreamNews__Output,
} from "./generated/lavenderferry/v1/UpstreamNews.ts";
export type {
  UsageBatch,
  UsageBatch__Output,
} from "./generated/lavenderferry/v1/UsageBatch.ts";
export type {
  UsageRecord,
  UsageRecord__Output,
} from "./generated/lavenderferry/v1/UsageRecord.ts";
export * from "./limits.ts";
export * from "./peer_client.ts";
export * from "./peer_clients.ts";
export * from "./peer_credentials.ts";
export * from "./peer_server.ts";
export * from "./to_explain_reply.ts";
