/** Runs the benchmark named on the command line. */
interface Benchmark {
  run(args: readonly string[]): Promise<void>;
}

const LOADERS: Readonly<Record<string, () => Promise<Benchmark>>> = {
  path: () => import('./path_benchmark.js'),
  slopes: () => import('./slopes/slopes_benchmark.js'),
  policy: () => import('./policy/policy_benchmark.js'),
};

async function main(): Promise<void> {
  const [name, ...args] = process.argv.slice(2);
  const load = LOADERS[name ?? ''];
  if (load === undefined) {
    throw new Error(
      `expected the name of a benchmark: ${Object.keys(LOADERS).join(', ')}`,
    );
  }
  await (await load()).run(args);
}

main().then(
  () => process.exit(0),
  error => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
