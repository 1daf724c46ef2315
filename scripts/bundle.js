// Bundles the programs that run on the platform, one file each, into the directory given as argument.
const esbuild = require('esbuild');
const path = require('node:path');

const PROGRAMS = {gateway: 'src/daemon/gateway_main.ts'};
const target = process.argv[2] ?? 'target';

esbuild.buildSync({
  entryPoints: Object.fromEntries(
    Object.entries(PROGRAMS).map(([name, source]) => [name, path.join(__dirname, '..', source)]),
  ),
  outdir: target,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning',
});
