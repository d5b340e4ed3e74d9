/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/build/rows_test.js > TAP > a settings file is read, and an error names the missing field > settings 1`] = `
Object {
  "relay": Object {
    "addresses": Object {
      "ip": "10.1.0.19",
      "port": 8746,
    },
    "callers": Object {
      "ip": "10.1.0.19",
      "port": 8740,
    },
    "coldTolerance": null,
    "connections": Object {
      "connections": 1024,
      "discardedBytes": 4194304,
      "pipelinedBytes": 131072,
      "stalledMs": 60000,
    },
    "dataCentre": "lodz-a",
    "evacuationBoundMs": null,
    "freshnessMs": 5000,
    "heldBytes": 12500000,
    "metrics": Object {
      "ip": "10.1.0.19",
      "port": 7201,
    },
    "peers": Object {
      "ip": "10.1.0.19",
      "port": 7200,
    },
    "readiness": Object {
      "ip": "10.1.0.19",
      "port": 8749,
    },
    "region": "pl-central",
    "retryBurst": 56,
    "retryShare": 0.1,
    "stopMs": 7700,
    "vm": "front-lodz-a-1",
  },
  "store": "http://10.200.1.7:8742",
}
`

exports[`platform/build/rows_test.js > TAP > an operator's configuration is decoded > routing 1`] = `
Object {
  "limits": Object {
    "bodyBytes": 4194304,
    "headerBytes": 16384,
    "headersMs": 3000,
    "idleMs": 15000,
  },
  "routes": Array [
    Object {
      "attempts": 1,
      "host": "ficu95.example",
      "keyless": false,
      "name": "r-hvz3pfi",
      "pauseTargetMs": 180,
      "prefix": "/pufi791/",
      "priority": 0,
      "repeatable": false,
      "services": Array [
        Object {
          "service": "huvo11a",
          "weight": 1,
        },
      ],
      "streaming": true,
      "targetMs": 1500,
      "timeoutMs": 6000,
    },
    Object {
      "attempts": 1,
      "host": "ficu95.example",
      "keyless": false,
      "name": "r-px5pa2y",
      "pauseTargetMs": 180,
      "prefix": "/lohu930/",
      "priority": 1,
      "repeatable": false,
      "services": Array [
        Object {
          "service": "huvo11a",
          "weight": 90,
        },
        Object {
          "service": "wuno96b",
          "weight": 10,
        },
      ],
      "streaming": true,
      "targetMs": 1800,
      "timeoutMs": 39000,
    },
  ],
  "services": Array [
    Object {
      "coldRate": 0,
      "connections": 252,
      "engines": Object {
        "copies": true,
        "copyTokensPerMs": 18.18068484042553,
        "memoryTokens": 34371,
        "models": Array [
          "m",
        ],
        "moves": true,
        "slots": 24,
        "tokensPerEvent": 4,
      },
      "name": "huvo11a",
    },
    Object {
      "coldRate": 0,
      "connections": 110,
      "engines": null,
      "name": "wuno96b",
    },
  ],
  "version": 7,
  "workspaces": Array [
    Object {
      "keys": Array [
        "xd9dnn2ctnfzs989anu6",
        "wsjnbanfqasnmgkcuyj8",
      ],
      "name": "huka270",
      "priority": 1,
    },
  ],
}
`

exports[`platform/build/rows_test.js > TAP > the row of an upstream is decoded > engine 1`] = `
Object {
  "address": "10.128.0.9:8080",
  "checksFence": false,
  "coldMs": 0,
  "dataCentre": "lodz-a",
  "id": "i-7f3a91c2",
  "instance": "i-7f3a91c2",
  "pool": "huvo11a",
  "region": "",
  "role": "engine",
  "slots": 24,
  "state": "live",
}
`
