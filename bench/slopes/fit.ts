/** Linear fits of measurements. */

/** A cost as a linear function of a size. */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  /** Additional cost per unit of size. */
  readonly slope: number;
  /** Cost at size 0. */
  readonly intercept: number;
  /** Root mean square of the residuals divided by the mean value. */
  readonly fitError: number;
}

/** Fits a line by least squares. */
export function fit(
  name: string,
  unit: string,
  sizes: readonly number[],
  values: readonly number[],
): Slope {
  const meanSize = mean(sizes);
  const meanValue = mean(values);
  const sizeVariation = sizes.reduce(
    (sum, size) => sum + (size - meanSize) ** 2,
    0,
  );
  const covariation = sizes.reduce(
    (sum, size, index) => sum + (size - meanSize) * (values[index] - meanValue),
    0,
  );
  const slope = covariation / sizeVariation;
  const intercept = meanValue - slope * meanSize;
  const residuals = sizes.map(
    (size, index) => (values[index] - intercept - slope * size) ** 2,
  );
  const fitError = Math.sqrt(mean(residuals)) / Math.abs(meanValue);
  return {name, unit, sizes, values, slope, intercept, fitError};
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Measures at each size in turn and fits a line. */
export async function measureSlope(
  name: string,
  unit: string,
  sizes: readonly number[],
  measure: (size: number) => number | Promise<number>,
): Promise<Slope> {
  const values: number[] = [];
  for (const size of sizes) {
    values.push(await measure(size));
  }
  return fit(name, unit, sizes, values);
}
