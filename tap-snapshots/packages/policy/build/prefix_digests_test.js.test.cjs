/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/policy/build/prefix_digests_test.js > TAP > digests are the same in all processes > must match snapshot 1`] = `
Array [
  "b30548123f4f4bac",
  "15583645fd7e8eba",
]
`

exports[`packages/policy/build/prefix_digests_test.js > TAP > digests are the same in all processes > must match snapshot 2`] = `
Array [
  "1143491c5130f6f6",
  "e8702c51cbfaab9f",
]
`

exports[`packages/policy/build/prefix_digests_test.js > TAP > the digests of a prompt's blocks have one length > must match snapshot 1`] = `
Array [
  16,
  16,
  16,
  16,
]
`
