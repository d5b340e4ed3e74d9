// Bundles the relay for the users' platform, because a restarted process loads a
// few files faster than hundreds of modules. The first file is small, so that the
// process receives signals before it loads the others.
import { copyFileSync, mkdirSync, rmSync } from "node:fs";
import { build } from "esbuild";

rmSync("target/bin", { recursive: true, force: true });
mkdirSync("target/proto", { recursive: true });
copyFileSync("packages/protocol/proto/peer.proto", "target/proto/peer.proto");
await build({
  entryPoints: [{ in: "platform/src/main.ts", out: "lavenderferry" }],
  outdir: "target/bin",
  bundle: true,
  splitting: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  tsconfig: "deploy/tsconfig.bundle.json",
  banner: {
    // Dependencies in CommonJS use `require`, `__dirname` and `__filename`,
    // which ES modules do not have.
    js: "import { createRequire as createRequireOf } from 'node:module';" +
      "const require = createRequireOf(import.meta.url);" +
      "const __dirname = import.meta.dirname, __filename = import.meta.filename;",
  },
});
