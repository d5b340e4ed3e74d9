import t from "tap";
import { WorkspaceShares } from "./workspace_shares.ts";

t.test("computes shares of recent use", (t) => {
  const shares = new WorkspaceShares();
  t.equal(shares.shareOf("a", 0), 0);
  shares.add("a", 300, 0);
  shares.add("b", 100, 0);
  t.equal(shares.shareOf("a", 0), 0.75);
  shares.add("b", 300, 10_000);
  t.ok(shares.shareOf("b", 10_000) > shares.shareOf("a", 10_000));
  t.end();
});
