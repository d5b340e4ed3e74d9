import { tokenText } from "@lavenderferry/standins";
import t from "tap";
import { request } from "undici";
import { Caller } from "../harness/caller.ts";
import { eventually } from "../harness/eventually.ts";
import { sampleStatement } from "../harness/sample_statement.ts";
import { System } from "../harness/system.ts";

const system = new System({ entries: 2, stewards: 1, engines: 2 });
const caller = new Caller(system.callerKey("clinic"));
t.teardown(() => system.stop());
t.before(() => system.startWithConfiguration(sampleStatement));

t.test("a stream arrives completely and in order", async (t) => {
  const generationRequest = { class: "report", prompt: "Survey [out:80]" };
  const result = await caller.generate(
    system.url("entry-0"),
    generationRequest,
  );
  t.equal(result.status, 200);
  t.equal(result.complete, true);
  t.equal(result.texts.length, 80);
  const indexes = result.eventIds.map((id) => Number(id.split(".")[2]));
  t.strictSame(indexes, result.texts.map((_, index) => index));
  const [encodedFields = ""] = (result.eventIds[0] ?? "").split(".");
  const fields = JSON.parse(Buffer.from(encodedFields, "base64url").toString());
  const expected = result.texts.map((_, index) => tokenText(fields[1], index));
  t.strictSame(result.texts, expected);
});

t.test("a stream resumes at another entry", async (t) => {
  const generationRequest = { class: "report", prompt: "Survey [out:200]" };
  const first = await caller.generate(
    system.url("entry-0"),
    generationRequest,
    AbortSignal.timeout(600),
  );
  t.equal(first.complete, false);
  const lastEventId = first.eventIds.at(-1) ?? "";
  const second = await caller.resume(system.url("entry-1"), lastEventId);
  t.equal(second.complete, true);
  t.equal(first.texts.length + second.texts.length, 200);
});

t.test("an answer without a stream is one document", async (t) => {
  const generationRequest = {
    class: "summary",
    prompt: "Sum [out:20]",
    stream: false,
  };
  const result = await caller.generate(
    system.url("entry-0"),
    generationRequest,
  );
  t.equal(result.status, 200);
  t.equal(result.texts[0]?.trim().split(" ").length, 20);
});

t.test("a booking sent twice with one key runs once", async (t) => {
  const options = {
    class: "booking",
    key: "k-1",
    body: { slot: "s-1", by: "anna" },
  };
  const first = await caller.call(
    system.url("entry-0"),
    "booking/bookings",
    options,
  );
  t.equal(first.status, 201);
  const second = await eventually(
    () => caller.call(system.url("entry-1"), "booking/bookings", options),
    ({ status }) => status !== 409,
  );
  t.strictSame(second.body, first.body);
  t.equal(second.replayed, true);
  const runs = await Promise.all(
    ["service-0", "service-1"].map(async (name) => {
      const response = await request(`${system.url(name)}/runs`);
      return (await response.body.json() as { runs: object[] }).runs.length;
    }),
  );
  t.equal(runs.reduce((sum, runCount) => sum + runCount, 0), 1);
});

t.test("cost is charged to the partners of the split", async (t) => {
  const { costs } = await eventually(
    () => system.operator().get("costs") as Promise<{ costs: CostLine[] }>,
    ({ costs }) =>
      costs.some(({ workClass, unit }) =>
        workClass === "report" && unit === "output"
      ) && costs.some(({ unit }) => unit === "call"),
  );
  const callCosts = costs.filter(({ unit }) => unit === "call");
  t.strictSame(
    callCosts.map(({ partner, microUnits }) => [partner, microUnits]),
    [["kowalczyk", "400000"], ["torutoode", "600000"]],
  );
});

interface CostLine {
  readonly partner: string;
  readonly workClass: string;
  readonly unit: string;
  readonly microUnits: string;
}
