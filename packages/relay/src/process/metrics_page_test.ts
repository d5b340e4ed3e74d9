import { readFileSync } from "node:fs";
import t from "tap";
import { RelayFixture } from "../fixtures/relay_fixture.ts";
import { createRelayMetrics } from "./metrics.ts";

t.test("OPERATIONS.md lists exactly the metrics that are served", async (t) => {
  const page = readFileSync(
    new URL("../../../../docs/OPERATIONS.md", import.meta.url),
    "utf8",
  );
  const documented = [...page.matchAll(/`(lavenderferry_relay_\w+)`/g)]
    .map(([, name]) => name);
  const { registry } = createRelayMetrics(new RelayFixture().state);
  const served = (await registry.getMetricsAsJSON()).map(({ name }) => name);
  t.strictSame(documented.sort(), served.sort());
});
