/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/build/http/answer_status_test.js > TAP > a call that states that it has not run with an invalid status has an unknown outcome > must match snapshot 1`] = `
Array [
  "000: failed, not run: unknown",
  "001: failed, not run: unknown",
  "099: failed, not run: unknown",
  "101: failed, not run: unknown",
  "102: failed, not run: unknown",
  "199: failed, not run: unknown",
  "600: failed, not run: unknown",
  "999: failed, not run: unknown",
  "7: failed, not run: unknown",
  "20: failed, not run: unknown",
  "2000: failed, not run: unknown",
  "abc: failed, not run: unknown",
  ": failed, not run: unknown",
]
`

exports[`packages/entry/build/http/answer_status_test.js > TAP > a call with a key with an invalid status has an unknown outcome > must match snapshot 1`] = `
Array [
  "000: failed, not run: unknown",
  "001: failed, not run: unknown",
  "099: failed, not run: unknown",
  "101: failed, not run: unknown",
  "102: failed, not run: unknown",
  "199: failed, not run: unknown",
  "600: failed, not run: unknown",
  "999: failed, not run: unknown",
  "7: failed, not run: unknown",
  "20: failed, not run: unknown",
  "2000: failed, not run: unknown",
  "abc: failed, not run: unknown",
  ": failed, not run: unknown",
]
`

exports[`packages/entry/build/http/answer_status_test.js > TAP > a generation that states that it has not started with an invalid status has an unknown outcome > must match snapshot 1`] = `
Array [
  "000: failed, lost",
  "001: failed, lost",
  "099: failed, lost",
  "101: failed, lost",
  "102: failed, lost",
  "199: failed, lost",
  "600: failed, lost",
  "999: failed, lost",
  "7: failed, lost",
  "20: failed, lost",
  "2000: failed, lost",
  "abc: failed, lost",
  ": failed, lost",
]
`

exports[`packages/entry/build/http/answer_status_test.js > TAP > a read with an invalid status has an unknown outcome > must match snapshot 1`] = `
Array [
  "000: failed, not run: unknown",
  "001: failed, not run: unknown",
  "099: failed, not run: unknown",
  "101: failed, not run: unknown",
  "102: failed, not run: unknown",
  "199: failed, not run: unknown",
  "600: failed, not run: unknown",
  "999: failed, not run: unknown",
  "7: failed, not run: unknown",
  "20: failed, not run: unknown",
  "2000: failed, not run: unknown",
  "abc: failed, not run: unknown",
  ": failed, not run: unknown",
]
`
