/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/configuration/build/configuration_test.js > TAP > differences are listed by entity and member > forward 1`] = `
Array [
  Object {
    "entity": "partners",
    "kind": "added",
    "members": Array [],
    "name": "kai",
  },
  Object {
    "entity": "splits",
    "kind": "changed",
    "members": Array [
      Object {
        "before": 400000,
        "path": "parts.ida",
      },
      Object {
        "after": 500000,
        "before": 600000,
        "path": "parts.jan",
      },
      Object {
        "after": 500000,
        "path": "parts.kai",
      },
    ],
    "name": "both",
  },
  Object {
    "entity": "classes",
    "kind": "added",
    "members": Array [],
    "name": "call",
  },
  Object {
    "entity": "classes",
    "kind": "changed",
    "members": Array [
      Object {
        "after": 1000,
        "before": 2000,
        "path": "targets.stallMs",
      },
    ],
    "name": "tag",
  },
]
`

exports[`packages/configuration/build/configuration_test.js > TAP > differences are listed by entity and member > reverse 1`] = `
Array [
  Object {
    "entity": "partners",
    "kind": "removed",
    "members": Array [],
    "name": "kai",
  },
  Object {
    "entity": "splits",
    "kind": "changed",
    "members": Array [
      Object {
        "after": 400000,
        "path": "parts.ida",
      },
      Object {
        "after": 600000,
        "before": 500000,
        "path": "parts.jan",
      },
      Object {
        "before": 500000,
        "path": "parts.kai",
      },
    ],
    "name": "both",
  },
  Object {
    "entity": "classes",
    "kind": "removed",
    "members": Array [],
    "name": "call",
  },
  Object {
    "entity": "classes",
    "kind": "changed",
    "members": Array [
      Object {
        "after": 2000,
        "before": 1000,
        "path": "targets.stallMs",
      },
    ],
    "name": "tag",
  },
]
`
