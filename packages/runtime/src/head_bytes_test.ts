import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import t from "tap";
import { estimateHeadBytes, headBytesOf } from "./head_bytes.ts";

t.test("the estimate grows with the bytes and the fields of a head", (t) => {
  t.equal(estimateHeadBytes(0, 0), 0);
  t.equal(estimateHeadBytes(16_000, 1), 32_072);
  t.equal(estimateHeadBytes(14_000, 1_400), 128_800);
  t.end();
});

// A field of ten bytes takes about eight times as many once it is parsed.
t.test("a head counts with its path and all of its fields", async (t) => {
  const server = createServer((_, response) => response.end());
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  t.teardown(() => socket.destroy());
  const requests = once(server, "request");
  socket.write("GET /path HTTP/1.1\r\nhost: a\r\nx: y\r\nx: y\r\n\r\n");
  const [request] = await requests as [IncomingMessage];
  t.equal(headBytesOf(request), estimateHeadBytes(5 + 5 + 2 + 2, 3));
});
