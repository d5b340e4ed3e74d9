// Bundles the relay for the users' platform into one file, which a restarted
// process loads faster than hundreds.
import { copyFileSync, mkdirSync } from "node:fs";
import { build } from "esbuild";

mkdirSync("target/proto", { recursive: true });
copyFileSync("packages/protocol/proto/peer.proto", "target/proto/peer.proto");
await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/bin/lavenderferry.js",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  tsconfig: "deploy/tsconfig.bundle.json",
  banner: {
    // Libraries in CommonJS ask for a function that ES modules do not have.
    js: "import { createRequire as createRequireOf } from 'node:module';" +
      "const require = createRequireOf(import.meta.url);" +
      "const __dirname = import.meta.dirname, __filename = import.meta.filename;",
  },
});
