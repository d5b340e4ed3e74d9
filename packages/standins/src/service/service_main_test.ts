import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { Test } from "tap";
import t from "tap";
import { request } from "undici";
import { standinPrograms } from "../mod.ts";

interface StartedProgram {
  readonly child: ChildProcess;
  readonly url: string;
}

async function startProgram(
  t: Test,
  program: URL,
  args: readonly string[],
): Promise<StartedProgram> {
  const child = spawn(process.execPath, [fileURLToPath(program), ...args], {
    stdio: ["ignore", "pipe", "inherit"],
    env: { ...process.env, UV_USE_IO_URING: "0" },
  });
  t.teardown(() => child.kill("SIGKILL"));
  const [line] = await once(createInterface({ input: child.stdout }), "line");
  const { address } = JSON.parse(String(line)) as { address: string };
  return { child, url: `http://${address}` };
}

t.test("recorded runs survive a kill of the service process", async (t) => {
  const platform = await startProgram(t, standinPrograms.platform, []);
  const args = ["--platform", platform.url, "--pool", "booking"];
  const first = await startProgram(t, standinPrograms.service, args);
  const booking = await request(`${first.url}/bookings`, {
    method: "POST",
    headers: { "idempotency-key": "k-1" },
    body: JSON.stringify({ slot: "s-1", by: "anna" }),
  });
  t.equal(booking.statusCode, 201);
  await booking.body.dump();
  first.child.kill("SIGKILL");
  await once(first.child, "exit");
  const second = await startProgram(t, standinPrograms.service, args);
  const slot = await request(`${second.url}/slots/s-1`);
  t.match(await slot.body.json(), { taken: 1, by: "anna", keys: ["k-1"] });
});
