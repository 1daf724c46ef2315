import * as fs from 'node:fs';
import * as path from 'node:path';
import * as ava from 'ava';
import * as changeSystem from '../../src/decision/common/change_system';
import * as configurationTable from '../../src/decision/common/configuration_table';
import * as daemonSettings from '../../src/daemon/daemon_settings';
import * as declarations from '../../src/tool/declarations';

const test = ava.default;
const ROOT = path.join(__dirname, '../../..');
const EXAMPLES = path.join(ROOT, 'examples');

for (const name of ['entry.ini', 'side-engine.ini', 'side-service.ini']) {
  test(`the example settings ${name} are valid`, t => {
    const read = daemonSettings.readDaemonSettings(path.join(EXAMPLES, name));
    t.true(read.isOk(), read.isErr() ? read.error.message : '');
  });
}

for (const name of ['cooperative.ini', 'association.ini']) {
  test(`the example declarations ${name} are accepted`, t => {
    const read = declarations.readDeclarations(path.join(EXAMPLES, name));
    t.true(read.isOk(), read.isErr() ? read.error.message : '');
    const changes = read._unsafeUnwrap().map(object => ({
      object,
      isRemoval: false,
      expectedVersion: 0,
    }));
    const table = new configurationTable.ConfigurationTable();
    const checked = changeSystem.checkChanges(table, changes);
    t.true(checked.isOk(), checked.isErr() ? checked.error.message : '');
  });
}

interface SettingsCase {
  readonly title: string;
  readonly from: string;
  readonly to: string;
  readonly message: RegExp;
}

const SETTINGS_CASES: readonly SettingsCase[] = [
  {
    title: 'an unknown key',
    from: 'quick_max_tokens',
    to: 'quick_tokens',
    message: /^x\.ini: section \[callers\], key quick_tokens: unknown key$/,
  },
  {
    title: 'an invalid number',
    from: 'quick_max_tokens = 128',
    to: 'quick_max_tokens = many',
    message:
      /section \[callers\], key quick_max_tokens: saw "many", expected a number from 0 to 1000000/,
  },
  {
    title: 'an invalid port',
    from: '127.0.0.1:8080',
    to: '127.0.0.1:99999',
    message:
      /section \[instance\], key listen: saw "127.0.0.1:99999", expected/,
  },
  {
    title: 'a missing data centre',
    from: 'data_centre = galle',
    to: '',
    message: /section \[instance\], key data_centre: saw nothing, expected/,
  },
  {
    title: 'an invalid role',
    from: 'role = entry',
    to: 'role = gate',
    message:
      /section \[instance\], key role: saw "gate", expected entry or side/,
  },
];

for (const {title, from, to, message} of SETTINGS_CASES) {
  test(`${title} is reported with its section, its key and what is wrong`, t => {
    const text = fs.readFileSync(path.join(EXAMPLES, 'entry.ini'), 'utf8');
    const parsed = daemonSettings.parseDaemonSettings(
      'x.ini',
      text.replace(from, to),
    );
    t.regex(parsed.isErr() ? parsed.error.message : 'accepted', message);
  });
}

test('every setting of the daemon is documented', t => {
  const documented = fs.readFileSync(
    path.join(ROOT, 'docs/SETTINGS.md'),
    'utf8',
  );
  const sources = [
    'src/base/node/process_settings.ts',
    'src/entry/node/entry_settings.ts',
    'src/side/node/side_settings.ts',
  ];
  const keys = sources
    .map(source => fs.readFileSync(path.join(ROOT, source), 'utf8'))
    .flatMap(text => [...text.matchAll(/^ {2}([a-z_]+): /gm)])
    .map(match => match[1]);
  t.true(keys.length > 20);
  t.deepEqual(
    keys.filter(key => !documented.includes(`| ${key} |`)),
    [],
  );
});
