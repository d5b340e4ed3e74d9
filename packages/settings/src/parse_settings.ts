import type { Failure } from "@lavenderferry/errors";
import { KnownError } from "@lavenderferry/errors";
import type { Node, ParseError } from "jsonc-parser";
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import type { z } from "zod";
import { findDuplicateKeys } from "./util/find_duplicate_keys.ts";

/** Where a settings text comes from. */
export interface SettingsSource {
  readonly path: string;
}

/** Parses JSON with comments and checks it against a strict schema. */
export function parseSettings<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  source: SettingsSource,
): z.output<Schema> {
  const document = parseDocument(text, source);
  const duplicates = findDuplicateKeys(document.root).map((node) => {
    const key = String(node.value);
    return `${placeOf(node, document)}: duplicate key "${key}"`;
  });
  if (duplicates.length > 0) {
    throw invalid(duplicates.join("\n"));
  }
  const result = schema.safeParse(getNodeValue(document.root));
  if (result.success) {
    return result.data;
  }
  const lines = result.error.issues.flatMap((issue) =>
    describeIssue(issue, document)
  );
  throw invalid(lines.join("\n"));
}

interface Document {
  readonly text: string;
  readonly root: Node;
  readonly source: SettingsSource;
}

function parseDocument(text: string, source: SettingsSource): Document {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const syntax = errors[0];
  if (syntax !== undefined || root === undefined) {
    const line = lineAt(text, syntax?.offset ?? 0);
    const reason = syntax === undefined
      ? "the file is empty"
      : printParseErrorCode(syntax.error);
    throw invalid(`${source.path}:${line}: cannot parse: ${reason}`);
  }
  return { text, root, source };
}

function describeIssue(
  issue: z.core.$ZodIssue,
  document: Document,
): readonly string[] {
  const path = issue.path.map((part) =>
    typeof part === "symbol" ? part.toString() : part
  );
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      locate([...path, key], `unknown key "${key}"`, document)
    );
  }
  const exists = path.length === 0 ||
    findNodeAtLocation(document.root, path) !== undefined;
  if (!exists && issue.code === "invalid_type") {
    const message = `missing; expected ${issue.expected}`;
    return [locate(path, message, document)];
  }
  return [locate(path, issue.message, document)];
}

function locate(
  path: readonly (string | number)[],
  message: string,
  document: Document,
): string {
  const node = nearestNode(document.root, path);
  const name = path.length === 0 ? "the document" : path.join(".");
  return `${placeOf(node, document)}: ${name}: ${message}`;
}

function placeOf(node: Node, { text, source }: Document): string {
  return `${source.path}:${lineAt(text, node.offset)}`;
}

function nearestNode(root: Node, path: readonly (string | number)[]): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) {
      return node;
    }
  }
  return root;
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

function invalid(message: string): Failure {
  return new KnownError(message, { kind: "bad_request" });
}
