import t from "tap";
import { statementSchema } from "./configuration.ts";
import { diffStatements } from "./diff_statements.ts";

const targets = {
  firstTokenMs: 1_000,
  betweenTokensMs: 55,
  stallMs: 2_000,
  preemptionsPerThousand: 100,
  completionMs: 120_000,
};
const tag = { title: "Tags", targets, split: "both" };
const valid = {
  partners: { ida: { title: "Ida" }, jan: { title: "Jan" } },
  splits: { both: { parts: { ida: 400_000, jan: 600_000 } } },
  classes: { tag },
};

const cases: readonly { name: string; statement: object; issue: string }[] = [
  {
    name: "an unknown member",
    statement: { ...valid, weights: {} },
    issue: ': Unrecognized key: "weights"',
  },
  {
    name: "a missing split that a class uses",
    statement: { ...valid, splits: {} },
    issue:
      'classes.tag.split: split "both" does not exist, but class "tag" uses it',
  },
  {
    name: "a missing partner that a split uses",
    statement: { ...valid, partners: { ida: { title: "" } } },
    issue:
      'splits.both.parts.jan: partner "jan" does not exist, but split "both" uses it',
  },
  {
    name: "parts whose sum is not a million",
    statement: {
      ...valid,
      splits: { both: { parts: { ida: 400_000, jan: 600_001 } } },
    },
    issue: "splits.both.parts: expected parts that sum to 1000000",
  },
  {
    name: "a target that is negative",
    statement: {
      ...valid,
      classes: { tag: { ...tag, targets: { ...targets, stallMs: -1 } } },
    },
    issue: "classes.tag.targets.stallMs: Too small: expected number to be >=0",
  },
  {
    name: "the reserved name",
    statement: {
      ...valid,
      partners: { ...valid.partners, unassigned: { title: "" } },
    },
    issue: "partners.unassigned: Invalid key in record",
  },
  {
    name: "too many partners",
    statement: {
      ...valid,
      partners: {
        ...valid.partners,
        ...Object.fromEntries(
          Array.from({ length: 99 }, (_, index) => [
            `p${index}`,
            { title: "" },
          ]),
        ),
      },
    },
    issue: "partners: expected at most 100 partners",
  },
];

t.test("a valid statement is accepted", (t) => {
  t.equal(statementSchema.safeParse(valid).success, true);
  t.end();
});

for (const { name, statement, issue } of cases) {
  t.test(`${name} is refused with its path`, (t) => {
    const { error } = statementSchema.safeParse(statement);
    const lines = error?.issues.map(({ path, message }) =>
      `${path.join(".")}: ${message}`
    );
    t.strictSame(lines, [issue]);
    t.end();
  });
}

t.test("differences are listed by entity and member", (t) => {
  const before = statementSchema.parse(valid);
  const after = statementSchema.parse({
    partners: { ...valid.partners, kai: { title: "Kai" } },
    splits: { both: { parts: { jan: 500_000, kai: 500_000 } } },
    classes: {
      tag: { ...tag, targets: { ...targets, stallMs: 1_000 } },
      call: tag,
    },
  });
  t.matchSnapshot(diffStatements(before, after), "forward");
  t.matchSnapshot(diffStatements(after, before), "reverse");
  t.strictSame(diffStatements(before, before), []);
  t.end();
});
