import t from "tap";
import { createFixture, reduceEvent } from "../fixtures/entry_fixture.ts";
import { createEntryState } from "../state.ts";
import { isReady } from "./is_ready.ts";

const at = { monotonic: 1_000, wall: 1_000 };

t.test("an entry that knows only a future version is not ready", (t) => {
  const known = createFixture("e1", at);
  t.equal(isReady(known, at.wall), true);
  const state = createEntryState(known.settings, "e2");
  t.equal(isReady(state, at.wall), false, "nothing is known");
  const configuration = {
    ...known.timeline.latest,
    version: 7,
    effectiveAt: 2_000,
  };
  reduceEvent(state, { kind: "vms_listed", vms: [] }, at);
  reduceEvent(state, { kind: "configuration_read", configuration }, at);
  t.equal(isReady(state, 1_999), false, "the version is not in force");
  t.equal(isReady(state, 2_000), true);
  t.end();
});
