/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 1`] = `
a.jsonc:1: cannot parse: ValueExpected
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 10`] = `
a.jsonc:3: peers.port: missing; expected number
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 11`] = `
a.jsonc:1: vm: missing; expected string
a.jsonc:1: peers: Invalid input: expected object, received array
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 12`] = `
a.jsonc:1: the document: Invalid input: expected object, received array
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 13`] = `
a.jsonc:2: logs.format: Invalid option: expected one of "text"|"json"
a.jsonc:2: logs.enabled: expected prefixes such as lavenderferry:entry,-lavenderferry:*
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 2`] = `
a.jsonc:1: cannot parse: CloseBraceExpected
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 3`] = `
a.jsonc:3: peers.ip: expected an IP number
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 4`] = `
a.jsonc:4: x: unknown key "x"
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 5`] = `
a.jsonc:2: vm: Invalid input: expected string, received number
a.jsonc:3: peers.port: Too big: expected number to be <=65535
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 6`] = `
a.jsonc:2: platform: expected an address with an IP number
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 7`] = `
a.jsonc:3: duplicate key "vm"
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 8`] = `
a.jsonc:3: duplicate key "port"
`

exports[`packages/settings/build/parse_settings_test.js > TAP > errors of invalid settings name the path and line > must match snapshot 9`] = `
a.jsonc:2: peers.x: unknown key "x"
a.jsonc:2: peers.y: unknown key "y"
`

exports[`packages/settings/build/parse_settings_test.js > TAP > valid settings are parsed > must match snapshot 1`] = `
Object {
  "peers": Object {
    "ip": "127.0.0.1",
    "port": 0,
  },
  "vm": "a-1",
}
`

exports[`packages/settings/build/parse_settings_test.js > TAP > valid settings are parsed > must match snapshot 2`] = `
Object {
  "peers": Object {
    "ip": "::1",
    "port": 1,
  },
  "vm": "a",
}
`
