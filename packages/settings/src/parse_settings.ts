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

/** Origin of a settings text, which error messages name. */
export interface SettingsSource {
  readonly path: string;
}

/**
 * Parses JSON with comments and checks it against a strict schema. Fails with
 * the kind `bad_request`; the message has a line for each error.
 */
export function parseSettings<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  source: SettingsSource,
): z.output<Schema> {
  const document = parseDocument(text, source);
  const duplicates = findDuplicateKeys(document.root).map((node) => {
    const key = String(node.value);
    return `${formatLocation(node, document)}: duplicate key "${key}"`;
  });
  if (duplicates.length > 0) {
    throw invalidSettings(duplicates.join("\n"));
  }
  const result = schema.safeParse(getNodeValue(document.root));
  if (result.success) {
    return result.data;
  }
  const lines = result.error.issues.flatMap((issue) =>
    describeIssue(issue, document)
  );
  throw invalidSettings(lines.join("\n"));
}

interface Document {
  readonly text: string;
  readonly root: Node;
  readonly source: SettingsSource;
}

function parseDocument(text: string, source: SettingsSource): Document {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const syntaxError = errors[0];
  if (syntaxError !== undefined || root === undefined) {
    const line = lineNumberAt(text, syntaxError?.offset ?? 0);
    const reason = syntaxError === undefined
      ? "the file is empty"
      : printParseErrorCode(syntaxError.error);
    throw invalidSettings(`${source.path}:${line}: cannot parse: ${reason}`);
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
      formatIssue([...path, key], `unknown key "${key}"`, document)
    );
  }
  const exists = path.length === 0 ||
    findNodeAtLocation(document.root, path) !== undefined;
  if (!exists && issue.code === "invalid_type") {
    const message = `missing; expected ${issue.expected}`;
    return [formatIssue(path, message, document)];
  }
  return [formatIssue(path, issue.message, document)];
}

function formatIssue(
  path: readonly (string | number)[],
  message: string,
  document: Document,
): string {
  const node = nearestNode(document.root, path);
  const name = path.length === 0 ? "the document" : path.join(".");
  return `${formatLocation(node, document)}: ${name}: ${message}`;
}

function formatLocation(node: Node, { text, source }: Document): string {
  return `${source.path}:${lineNumberAt(text, node.offset)}`;
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

function lineNumberAt(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

function invalidSettings(message: string): Failure {
  return new KnownError(message, { kind: "bad_request" });
}
