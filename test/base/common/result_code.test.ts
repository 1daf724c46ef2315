import * as fs from 'node:fs';
import * as path from 'node:path';
import * as ava from 'ava';
import * as resultCode from '../../../src/base/common/result_code';

const TABLE = path.join(__dirname, '../../../../docs/RESULT-CODES.md');

/** Returns the documentation row of a code. */
function row(code: resultCode.ResultCode): string {
  const {httpStatus, meaning, remedy} = resultCode.describeResult(code);
  return `| ${code} | ${resultCode.ResultCode[code]} | ${httpStatus} | ${meaning} | ${remedy} |`;
}

ava.default('the table in the documentation has every result code', t => {
  const rows = fs
    .readFileSync(TABLE, 'utf8')
    .split('\n')
    .filter(line => /^\| \d+ \|/.test(line));
  t.deepEqual(rows, resultCode.allResultCodes().map(row));
});
