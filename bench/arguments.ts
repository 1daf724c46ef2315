/** Arguments of benchmarks in the form --name value. */

/** Returns the value of an argument, or the fallback when it is missing. */
export function argument(
  args: readonly string[],
  name: string,
  fallback: string,
): string {
  const index = args.indexOf(`--${name}`);
  return index < 0 ? fallback : args[index + 1];
}

/** Returns the value of a numeric argument. */
export function numberArgument(
  args: readonly string[],
  name: string,
  fallback: number,
): number {
  return Number(argument(args, name, String(fallback)));
}
