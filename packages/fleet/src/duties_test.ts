import { MemoryTable } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import t from "tap";
import { Duties, dutyNames, moveTurnMs, turnsPerRound } from "./duties.ts";
import { DutyDirectory } from "./duty_directory.ts";
import type { Member, MemberState } from "./member.ts";

const wallStart = 1_800_000_000_000;
const stepMs = 250;
const pools = ["models"];
const names = dutyNames(pools);

interface Steward {
  readonly duties: Duties;
  alive: boolean;
}

/** Stewards that share a table and know each other's exact states. */
class Stewards {
  readonly table = new MemoryTable();
  readonly stewards = new Map<string, Steward>();
  readonly members = new Map<string, Member>();
  now = 0;
  writes = 0;

  constructor(size: number) {
    for (let index = 0; index < size; index++) {
      this.add(`s${index}`);
    }
  }

  get at(): Moment {
    return { monotonic: this.now, wall: wallStart + this.now };
  }

  add(id: string): void {
    const duties = new Duties({ id, epoch: `${id}1` });
    this.stewards.set(id, { duties, alive: true });
    this.setState(id, "live");
  }

  setState(id: string, state: MemberState): void {
    this.members.set(id, {
      id,
      epoch: `${id}1`,
      sequence: 1,
      state,
      role: "steward",
      dataCentre: "dc",
      region: "region",
      address: "",
      peers: id,
    });
  }

  kill(id: string): void {
    this.steward(id).alive = false;
    this.setState(id, "gone");
  }

  steward(id: string): Steward {
    const steward = this.stewards.get(id);
    if (steward === undefined) {
      throw new Error(`No steward is called "${id}"`);
    }
    return steward;
  }

  holders(): Map<string, string[]> {
    const holders = new Map<string, string[]>();
    for (const [id, { duties, alive }] of this.stewards) {
      for (const duty of alive ? duties.held(this.at) : []) {
        holders.set(duty, [...holders.get(duty) ?? [], id]);
      }
    }
    return holders;
  }

  async run(milliseconds: number, afterStep = () => {}): Promise<void> {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += stepMs;
      for (const { duties, alive } of this.stewards.values()) {
        if (alive) {
          await this.#step(duties);
        }
      }
      afterStep();
    }
  }

  async #step(duties: Duties): Promise<void> {
    const members = [...this.members.values()];
    const directory = new DutyDirectory();
    const view = { members, directory, pools };
    for (const { duty, action } of duties.step(view, this.at)) {
      if (action.kind === "read") {
        const [row = null] = await this.table.read([action.key]);
        duties.rowRead(duty, row, this.at);
      } else {
        this.writes += 1;
        const result = await this.table.commit([action.write]);
        duties.writeCompleted(duty, result, this.at);
      }
    }
  }
}

t.test("every duty has one holder, and most stewards hold some", async (t) => {
  const fleet = new Stewards(6);
  await fleet.run(5_000);
  const holders = fleet.holders();
  t.equal(holders.size, names.length);
  t.ok([...holders.values()].every((ids) => ids.length === 1));
  t.ok(new Set([...holders.values()].flat()).size >= 4);
});

t.test("only the duties of a dead holder move", async (t) => {
  const fleet = new Stewards(6);
  await fleet.run(5_000);
  const before = fleet.holders();
  fleet.kill("s2");
  await fleet.run(9_000);
  const after = fleet.holders();
  t.equal(after.size, names.length);
  for (const [duty, [holder = ""]] of before) {
    const [newHolder = ""] = after.get(duty) ?? [];
    t.equal(newHolder !== holder, holder === "s2", duty);
  }
});

t.test("duties move to joining stewards a few per turn", async (t) => {
  const fleet = new Stewards(2);
  await fleet.run(5_000);
  for (const id of ["s2", "s3", "s4", "s5"]) {
    fleet.add(id);
  }
  const before = fleet.holders();
  await fleet.run(9_000);
  t.strictSame(fleet.holders(), before, "no duty moves before `moveDelayMs`");
  const perTurn = new Map<number, Set<string>>();
  let previous = fleet.holders();
  await fleet.run(2 * turnsPerRound * moveTurnMs, () => {
    const turn = Math.floor(fleet.at.wall / moveTurnMs);
    const current = fleet.holders();
    for (const duty of names) {
      if (
        previous.get(duty)?.[0] !== undefined && current.get(duty) === undefined
      ) {
        perTurn.set(turn, (perTurn.get(turn) ?? new Set()).add(duty));
      }
    }
    previous = current;
  });
  t.ok(new Set([...fleet.holders().values()].flat()).size > 4);
  const most = Math.max(...[...perTurn.values()].map(({ size }) => size));
  t.ok(most <= Math.ceil(names.length / 3), `${most} of ${names.length}`);
});

t.test("a planned stop releases all duties at once", async (t) => {
  const fleet = new Stewards(4);
  await fleet.run(5_000);
  fleet.steward("s1").duties.releaseAll();
  fleet.setState("s1", "leaving");
  await fleet.run(3_000);
  t.strictSame(fleet.steward("s1").duties.held(fleet.at), []);
  t.equal(fleet.steward("s1").duties.released, true);
  await fleet.run(9_000);
  t.equal(fleet.holders().size, names.length);
});

t.test("a holder resumed after a pause holds no duties", async (t) => {
  const fleet = new Stewards(3);
  await fleet.run(5_000);
  const steward = fleet.steward("s0");
  steward.alive = false;
  fleet.setState("s0", "suspected");
  await fleet.run(10_000);
  steward.alive = true;
  fleet.setState("s0", "live");
  t.strictSame(steward.duties.held(fleet.at), []);
  await fleet.run(5_000);
  const holders = fleet.holders();
  t.ok([...holders.values()].every((ids) => ids.length === 1));
});

t.test("without changes only renewals are written", async (t) => {
  const fleet = new Stewards(6);
  await fleet.run(10_000);
  fleet.writes = 0;
  await fleet.run(20_000);
  t.ok(fleet.writes <= names.length * 20_000 / 2_000);
});
