import { createHash } from "node:crypto";
import { EventEmitter, once } from "node:events";
import { deflateRawSync } from "node:zlib";
import type {
  DocumentPart__Output,
  PeerMethods,
} from "@lavenderferry/protocol";
import { PeerClients, PeerServer } from "@lavenderferry/protocol";
import { Random } from "@lavenderferry/runtime";
import type { Test } from "tap";
import t from "tap";
import type { Versioned } from "../fleet_updates.ts";
import { DocumentArchive, maxReceivers } from "./document_archive.ts";
import type { DocumentEffect } from "./document_effect.ts";
import type { DocumentEvent } from "./document_event.ts";
import { DocumentExchange } from "./document_exchange.ts";
import type { DocumentSource, FetchView } from "./document_fetch.ts";
import { DocumentFetch } from "./document_fetch.ts";
import type { DocumentFormat } from "./document_format.ts";
import { createDocumentHandlers } from "./document_handlers.ts";
import { DocumentRunner } from "./document_runner.ts";
import { maxDocumentBytes, maxPartBytes, partTimeoutMs } from "./limits.ts";

interface Item {
  readonly name: string;
  readonly text: string;
}

interface Book extends Versioned {
  readonly items: readonly Item[];
  readonly notes: readonly Item[] | null;
}

const format: DocumentFormat = {
  lists: ["items", "notes"],
  readHead: (value) => value as object,
  readItem: (_list, value) =>
    "text" in (value as object) ? value as Item : null,
};

const random = new Random(5);

function itemOf(index: number): Item {
  const text = Array.from({ length: 6 }, () => random.fraction()).join(" ");
  return { name: `item-${index}`, text };
}

function bookOf(version: number, items: readonly Item[]): Book {
  return { version, items, notes: null };
}

/** A process that transfers documents over real connections. */
class Process {
  readonly updates = new EventEmitter();
  held: Versioned = { version: 0 };
  sources: DocumentSource[] = [];
  readonly documents: DocumentExchange;
  readonly #clients = new PeerClients();
  readonly #runner = new DocumentRunner(this.#clients, format);
  readonly #handlers = createDocumentHandlers<{ fleet: Process }, never>({
    proceed: () => [],
  });
  readonly #server: PeerServer;

  constructor(id: string) {
    this.documents = new DocumentExchange(id, new Random(1), () => ({
      heldVersion: this.held.version,
      sources: this.sources.filter(({ version }) =>
        version > this.held.version
      ),
      readsStore: false,
    }));
    const unused = () => Promise.reject(new Error("Not used"));
    const methods: PeerMethods = {
      exchange: unused,
      settle: unused,
      hold: unused,
      takeOver: unused,
      explain: unused,
      drain: unused,
      readDocument: (request) =>
        this.#runner.receive(request, (event) => this.#dispatch(event)),
    };
    this.#server = new PeerServer(methods);
  }

  async start(t: Test): Promise<string> {
    const port = await this.#server.listen("127.0.0.1", 0);
    t.teardown(() => {
      this.#clients.close();
      this.#server.close();
    });
    return `127.0.0.1:${port}`;
  }

  applyDocument(document: Versioned): void {
    this.held = document;
    this.documents.add(document);
    this.run();
    this.updates.emit("applied");
  }

  bytesReceived(): void {
    // Nobody is suspected here.
  }

  run(): void {
    for (const effect of this.documents.takeEffects(performance.now())) {
      this.#handle(effect);
    }
  }

  #dispatch(event: DocumentEvent): void {
    const now = performance.now();
    const timed = Object.assign(event, { at: { monotonic: now, wall: now } });
    const handler = this.#handlers[event.kind] as (
      state: { fleet: Process },
      event: unknown,
    ) => readonly DocumentEffect[];
    for (const effect of handler({ fleet: this }, timed)) {
      this.#handle(effect);
    }
    this.run();
  }

  #handle(effect: DocumentEffect): void {
    const handler = this.#runner.handlers[effect.kind] as (
      effect: DocumentEffect,
      dispatch: (event: DocumentEvent) => void,
    ) => void;
    handler(effect, (event) => this.#dispatch(event));
  }
}

// A document of 10,000 routes exceeds the bound of a message, and each version was
// sent as a whole.
t.test("a large document is read in parts, and then its changes only", async (t) => {
  const [sender, reader] = [new Process("a"), new Process("b")];
  const address = await sender.start(t);
  await reader.start(t);
  const items = Array.from({ length: 12_000 }, (_, index) => itemOf(index));
  const first = bookOf(1, items);
  const [moved, ...others] = items;
  const changed = others.toSpliced(5_000, 2, itemOf(-1)).toSpliced(
    9_000,
    0,
    moved ?? itemOf(0),
  );
  for (const book of [first, bookOf(2, changed)]) {
    const before = reader.documents.bytes.received;
    sender.applyDocument(book);
    const { version } = book;
    reader.sources = [{ peer: "a", address, version, isNear: true }];
    const applied = once(reader.updates, "applied");
    reader.run();
    await applied;
    t.strictSame(reader.held, book);
    const bytes = reader.documents.bytes.received - before;
    t.ok(version === 1 ? bytes > maxPartBytes : bytes < 500, `${bytes} bytes`);
  }
  t.match(reader.documents.takeOutcomes(), [
    { reason: "received", peer: "a", version: 1, baseVersion: 0 },
    { reason: "received", peer: "a", version: 2, baseVersion: 1 },
  ]);
});

t.test("a document that decompresses to too much or has another digest is rejected", async (t) => {
  const runner = new DocumentRunner(new PeerClients(), format);
  const text = '{"version":1,"items":0,"notes":null}';
  const large = text + " ".repeat(maxDocumentBytes);
  const digestOf = (line: string) =>
    createHash("sha256").update(`${line}\n`).digest("base64");
  const decode = (content: Buffer, digest: string) =>
    new Promise<string>((resolve) => {
      const effect = { kind: "decode_document", fetchId: 1 } as const;
      const received = { content, digest, base: null };
      runner.handlers.decode_document(
        { ...effect, ...received },
        ({ kind }) => resolve(kind),
      );
    });
  const content = deflateRawSync(text);
  t.equal(await decode(content, digestOf(text)), "document_decoded");
  t.equal(await decode(content, digestOf("other")), "document_rejected");
  const largeContent = deflateRawSync(large);
  t.equal(await decode(largeContent, digestOf(large)), "document_rejected");
  t.equal(await decode(Buffer.from("text"), ""), "document_rejected");
});

const base = {
  version: 4,
  digest: "d4",
  lines: [],
  items: [],
  length: 0,
};

function viewOf(now: number, change: Partial<FetchView> = {}): FetchView {
  const source = { address: "x:1", version: 5, isNear: true };
  const sources = [
    { ...source, peer: "far", isNear: false },
    { ...source, peer: "near" },
  ];
  return { now, heldVersion: 4, base, sources, readsStore: false, ...change };
}

function partOf(change: Partial<DocumentPart__Output>): DocumentPart__Output {
  return {
    sender: "near",
    version: 5,
    content: Buffer.from("c"),
    totalBytes: 1,
    digest: "d5",
    baseVersion: 0,
    retryAfterMs: 0,
    ...change,
  };
}

// Each exchange with any peer that had the version brought all of it.
t.test("one peer at a time is asked, the next one after the deadline or a failure", (t) => {
  const fetch = new DocumentFetch("me", new Random(1));
  t.match(fetch.step(viewOf(0)), [{ peer: "near", fetchId: 1 }]);
  t.strictSame(fetch.step(viewOf(partTimeoutMs - 1)), []);
  t.match(fetch.step(viewOf(partTimeoutMs)), [{ peer: "far", fetchId: 2 }]);
  t.strictSame(
    fetch.partReceived(1, partOf({}), partTimeoutMs + 1),
    [],
    "a part of the former peer comes too late",
  );
  const half = partOf({ totalBytes: 2 });
  t.match(fetch.partReceived(2, half, partTimeoutMs + 600), [{
    kind: "request_document",
    request: { offset: 1, version: 5 },
  }]);
  t.strictSame(fetch.step(viewOf(2 * partTimeoutMs + 1)), [], "bytes arrive");
  fetch.failed(2, 2 * partTimeoutMs + 2);
  t.match(fetch.step(viewOf(2 * partTimeoutMs + 1_000)), [{ peer: "near" }]);
  t.end();
});

t.test("the whole document is asked for after a difference with another digest", (t) => {
  const fetch = new DocumentFetch("me", new Random(1));
  t.match(fetch.step(viewOf(0)), [{ request: { baseVersion: 4 } }]);
  const difference = partOf({ baseVersion: 4 });
  t.match(fetch.partReceived(1, difference, 1), [{ base: { version: 4 } }]);
  fetch.rejected(1, 2);
  t.match(fetch.step(viewOf(3)), [{
    peer: "near",
    request: { baseVersion: 0 },
  }]);
  t.match(fetch.partReceived(2, partOf({}), 4), [{ base: null }]);
  fetch.rejected(2, 5);
  t.match(fetch.step(viewOf(6)), [{ peer: "far" }], "another peer is asked");
  t.end();
});

t.test("a process that reads the store leaves a version to that read at first", (t) => {
  const fetch = new DocumentFetch("me", new Random(1));
  t.strictSame(fetch.step(viewOf(0, { readsStore: true })), []);
  t.strictSame(fetch.step(viewOf(400, { readsStore: true })), []);
  t.match(fetch.step(viewOf(500, { readsStore: true })), [{ peer: "near" }]);
  t.end();
});

// All peers were sent the document at the same time over one link.
t.test("documents are sent to a few peers at a time, and once to each", (t) => {
  const archive = new DocumentArchive("me");
  const bytes = Buffer.alloc(maxPartBytes);
  const encoded = { ...base, version: 5 };
  archive.add({ version: 5 }, { encoded, content: { baseVersion: 0, bytes } });
  const ask = (sender: string, now: number) => {
    const request = { version: 5, offset: 0, baseVersion: 0, baseDigest: "" };
    const [effect] = archive.request(1, { sender, ...request }, now);
    return effect?.kind === "answer_document" ? effect.part.version : undefined;
  };
  for (let index = 0; index < maxReceivers; index++) {
    t.equal(ask(`p${index}`, 0), 5);
  }
  t.equal(ask("p0", 1), 0, "it is sent once");
  t.equal(ask("other", 1), 0);
  t.equal(ask("other", 300), 5);
  t.end();
});

// The entry stayed pending after a failure: the requests that waited for it, and
// all later ones, were never answered, and each peer kept its place.
t.test("requests for a document that cannot be encoded are refused", async (t) => {
  const documents = new DocumentExchange("me", new Random(1), () => ({
    heldVersion: 5,
    sources: [],
    readsStore: false,
  }));
  const runner = new DocumentRunner(new PeerClients(), {
    ...format,
    lists: [],
  });
  const cyclic: { version: number; self?: unknown } = { version: 5 };
  cyclic.self = cyclic;
  const handlers = createDocumentHandlers<
    { fleet: Pick<Process, "documents" | "applyDocument" | "bytesReceived"> },
    DocumentEffect
  >({ proceed: () => documents.takeEffects(0) });
  const fleet = {
    documents,
    applyDocument: () => {
      t.fail("No document is received");
    },
    bytesReceived: () => undefined,
  };
  const reduce = (event: DocumentEvent) => {
    const at = { monotonic: 0, wall: 0 };
    const handler = handlers[event.kind] as (
      state: { fleet: typeof fleet },
      event: unknown,
    ) => readonly DocumentEffect[];
    return handler({ fleet }, Object.assign({ ...event }, { at }));
  };
  const ask = (replyId: number, sender: string) => {
    const request = { version: 5, offset: 0, baseVersion: 0, baseDigest: "" };
    const kind = "document_requested";
    return reduce({ kind, replyId, request: { sender, ...request } });
  };
  const encode = (effects: readonly DocumentEffect[]) =>
    new Promise<DocumentEvent>((resolve) => {
      const effect = effects.find(({ kind }) => kind === "encode_document");
      if (effect?.kind !== "encode_document") {
        throw new Error("Nothing is encoded");
      }
      runner.handlers.encode_document(effect, resolve);
    });
  documents.add(cyclic);
  t.strictSame(reduce(await encode(documents.takeEffects(0))), []);
  for (const first of [1, 3]) {
    const asked = ask(first, "p1");
    t.strictSame(ask(first + 1, "p2"), [], "it waits for the same content");
    const refused = reduce(await encode(asked));
    t.match(refused, [
      { replyId: first, part: { version: 0, retryAfterMs: 250 } },
      { replyId: first + 1, part: { version: 0, retryAfterMs: 250 } },
    ]);
    t.equal(refused.length, 2);
  }
});
