/** The version of the installed package. */
import * as fs from 'node:fs';
import * as path from 'node:path';

interface PackageManifest {
  readonly version: string;
}

/** Reads the version from package.json. */
export function readVersion(): string {
  const manifest = path.join(__dirname, '..', '..', '..', '..', 'package.json');
  return (JSON.parse(fs.readFileSync(manifest, 'utf8')) as PackageManifest)
    .version;
}
