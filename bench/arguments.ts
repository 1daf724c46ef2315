/** Arguments of benchmarks in the form --name value. */

/** Gives the value of an argument, or the fallback when it is not there. */
export function argument(
  args: readonly string[],
  name: string,
  fallback: string,
): string {
  const index = args.indexOf(`--${name}`);
  return index < 0 ? fallback : args[index + 1];
}

/** Gives the value of a numeric argument. */
export function numberArgument(
  args: readonly string[],
  name: string,
  fallback: number,
): number {
  return Number(argument(args, name, String(fallback)));
}
