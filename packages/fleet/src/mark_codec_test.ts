import { toStoreVersion } from "@lavenderferry/platform";
import fc from "fast-check";
import t from "tap";
import { readMark, writeMark } from "./mark_codec.ts";
import { markReasons } from "./marks.ts";

const mark = {
  upstream: "d1",
  reason: markReasons.leaving,
  at: 1_800_000_000_000,
  version: toStoreVersion(3, 17),
};

t.test("a mark is read as it was written", (t) => {
  const written = writeMark(mark);
  t.match(written, { version: 17 }, "builds without eras read the number");
  const received = { ...mark, version: 17, datedVersion: mark.version };
  t.match(received, written);
  t.strictSame(readMark(received, 0), mark);
  t.end();
});

t.test("the mark of a build without eras counts in the era of the list", (t) => {
  const received = { ...mark, version: 17, datedVersion: 0 };
  const listVersion = toStoreVersion(2, 400);
  const { version } = readMark(received, listVersion) ?? {};
  t.equal(version, toStoreVersion(2, 17));
  const unversioned = { ...received, version: 0 };
  t.equal(readMark(unversioned, listVersion)?.version, 0);
  t.end();
});

// A number out of range ended the process that received it.
t.test("a mark with any numbers is read or ignored", (t) => {
  const anyNumber = fc.oneof(
    fc.double(),
    fc.maxSafeInteger(),
    fc.constantFrom(2 ** 40, 2 ** 53, 2 ** 64, -1, Infinity),
  );
  const record = fc.record({
    upstream: fc.string(),
    reason: fc.string(),
    at: anyNumber,
    version: anyNumber,
    datedVersion: anyNumber,
  });
  const property = fc.property(record, (received) => {
    const read = readMark(received, toStoreVersion(1, 5));
    return read === null ||
      (Number.isSafeInteger(read.version) && read.version >= 0);
  });
  t.doesNotThrow(() => fc.assert(property, { seed: 29 }));
  t.end();
});
