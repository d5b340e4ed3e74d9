import t from "tap";
import { runFaults } from "./run_faults.ts";

const durationMs = 20_000;

t.test("a short schedule of faults leads to no violation", async (t) => {
  const report = await runFaults({ seed: 1, durationMs });
  t.strictSame(report.violations, []);
  t.ok(report.tokens > 0, "tokens were read");
  t.ok((report.generations["whole"] ?? 0) > 0, "answers were complete");
  t.ok(report.bookingRuns > 0, "bookings ran");
  t.ok(report.configurationsSeen > 0, "versions were observed");
});
