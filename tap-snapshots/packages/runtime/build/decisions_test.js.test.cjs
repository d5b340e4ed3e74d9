/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/runtime/build/decisions_test.js > TAP > the texts of a decision are bounded > must match snapshot 1`] = `
Object {
  "host": 128,
  "path": "/short",
  "subject": 107,
  "version": 7,
}
`
