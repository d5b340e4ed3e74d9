/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry checks arguments and settings > --help 1`] = `
lavenderferry-entry/0.1.0

Usage:
  $ lavenderferry-entry --settings <file>

Options:
  --settings <file>  Settings file in JSON with comments 
  -h, --help         Display this message 
  -v, --version      Display version number 
exit code 0
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry checks arguments and settings > --settings FILE 1`] = `
lavenderferry-entry: FILE: cannot read the file: it does not exist
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry checks arguments and settings > --version 1`] = `
lavenderferry-entry/0.1.0 PLATFORM node-NODE
exit code 0
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry checks arguments and settings > --weights 1 1`] = `
lavenderferry-entry: Unknown option "weights"
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry checks arguments and settings > an empty document 1`] = `
lavenderferry-entry: FILE:1: vm: missing; expected string
FILE:1: dataCentre: missing; expected string
FILE:1: region: missing; expected string
FILE:1: peers: missing; expected object
FILE:1: platform: missing; expected string
FILE:1: callers: missing; expected object
FILE:1: callerSecret: missing; expected string
FILE:1: streamSecret: missing; expected string
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry checks arguments and settings > must match snapshot 1`] = `
lavenderferry-entry: The option --settings is missing
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry checks arguments and settings > now --settings FILE 1`] = `
lavenderferry-entry: Unexpected argument "now"
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry reports a port that is in use > for peers 1`] = `
E No address added out of total 1 resolved
lavenderferry-entry: Cannot listen on 127.0.0.1:PORT: the port is in use
exit code 1
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-entry reports a port that is in use > must match snapshot 1`] = `
lavenderferry-entry: Cannot listen on 127.0.0.1:PORT: the port is in use
exit code 1
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward checks arguments and settings > --help 1`] = `
lavenderferry-steward/0.1.0

Usage:
  $ lavenderferry-steward --settings <file>

Options:
  --settings <file>  Settings file in JSON with comments 
  -h, --help         Display this message 
  -v, --version      Display version number 
exit code 0
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward checks arguments and settings > --settings FILE 1`] = `
lavenderferry-steward: FILE: cannot read the file: it does not exist
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward checks arguments and settings > --version 1`] = `
lavenderferry-steward/0.1.0 PLATFORM node-NODE
exit code 0
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward checks arguments and settings > --weights 1 1`] = `
lavenderferry-steward: Unknown option "weights"
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward checks arguments and settings > an empty document 1`] = `
lavenderferry-steward: FILE:1: vm: missing; expected string
FILE:1: dataCentre: missing; expected string
FILE:1: region: missing; expected string
FILE:1: peers: missing; expected object
FILE:1: platform: missing; expected string
FILE:1: operators: missing; expected object
FILE:1: operatorKeys: missing; expected record
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward checks arguments and settings > must match snapshot 1`] = `
lavenderferry-steward: The option --settings is missing
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward checks arguments and settings > now --settings FILE 1`] = `
lavenderferry-steward: Unexpected argument "now"
exit code 2
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward reports a port that is in use > for peers 1`] = `
E No address added out of total 1 resolved
lavenderferry-steward: Cannot listen on 127.0.0.1:PORT: the port is in use
exit code 1
`

exports[`packages/cli/build/programs_test.js > TAP > lavenderferry-steward reports a port that is in use > must match snapshot 1`] = `
lavenderferry-steward: Cannot listen on 127.0.0.1:PORT: the port is in use
exit code 1
`
