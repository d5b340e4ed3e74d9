// A model engine as a process of its own. It ends as it begins to write an answer
// to a prompt with a certain part. Each line of its output is a JSON array.
import { ModelEngine } from "./system.js";

const [instance, crashPart, framing] = process.argv.slice(2);

/** Events of each stream and milliseconds between two of them. */
const events = 40;
const intervalMs = 25;

/** Milliseconds that a prompt of 600 tokens takes, at 14 tokens in a ms. */
const prefillMs = 43;

function print(...values) {
  process.stdout.write(`${JSON.stringify(values)}\n`);
}

/** Whether a part of a prompt, other than its last one, is the crash part. */
function hasCrashPart(headers) {
  const parts = (headers["lavenderferry-prompt-prefix"] ?? "").split(",");
  return parts.slice(0, -1).some((part) => part.split(":")[0] === crashPart);
}

class CrashEngine extends ModelEngine {
  unframed = framing === "unframed";

  began({ id, headers }) {
    print("run", id);
    if (hasCrashPart(headers)) {
      print("crash", id);
      return true;
    }
    return false;
  }

  wrote(run) {
    if (run.crashes) {
      process.kill(process.pid, "SIGKILL");
    }
  }
}

const engine = new CrashEngine({ instance });
engine.events = events;
engine.intervalMs = intervalMs;
engine.prefillMs = prefillMs;
await engine.start();
print("listening", engine.row());
