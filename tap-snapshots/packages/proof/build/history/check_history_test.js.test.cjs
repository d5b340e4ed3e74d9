/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/proof/build/history/check_history_test.js > TAP > a trace has only the records that prove the violation > must match snapshot 1`] = `
Array [
  Object {
    "kind": "token_repeated",
    "subject": "r-1",
    "trace": Array [
      Object {
        "at": 0,
        "expected": "a",
        "generation": "g-1",
        "index": 1,
        "kind": "token_read",
        "request": "r-1",
        "text": "a",
      },
      Object {
        "at": 0,
        "expected": "a",
        "generation": "g-1",
        "index": 1,
        "kind": "token_read",
        "request": "r-1",
        "text": "a",
      },
    ],
  },
  Object {
    "kind": "token_skipped",
    "subject": "r-1",
    "trace": Array [
      Object {
        "at": 0,
        "expected": "a",
        "generation": "g-1",
        "index": 0,
        "kind": "token_read",
        "request": "r-1",
        "text": "a",
      },
      Object {
        "at": 0,
        "expected": "a",
        "generation": "g-1",
        "index": 2,
        "kind": "token_read",
        "request": "r-1",
        "text": "a",
      },
    ],
  },
  Object {
    "kind": "other_generation",
    "subject": "r-1",
    "trace": Array [
      Object {
        "at": 0,
        "expected": "a",
        "generation": "g-1",
        "index": 0,
        "kind": "token_read",
        "request": "r-1",
        "text": "a",
      },
      Object {
        "at": 0,
        "expected": "a",
        "generation": "g-2",
        "index": 1,
        "kind": "token_read",
        "request": "r-1",
        "text": "a",
      },
    ],
  },
  Object {
    "kind": "foreign_answer",
    "subject": "r-1",
    "trace": Array [
      Object {
        "at": 0,
        "expected": "a",
        "generation": "g-1",
        "index": 1,
        "kind": "token_read",
        "request": "r-1",
        "text": "b",
      },
    ],
  },
  Object {
    "kind": "whole_without_end",
    "subject": "r-1",
    "trace": Array [
      Object {
        "at": 0,
        "expectedTokens": 2,
        "kind": "answer_ended",
        "marked": false,
        "request": "r-1",
        "tokens": 2,
        "whole": true,
      },
    ],
  },
  Object {
    "kind": "short_answer",
    "subject": "r-1",
    "trace": Array [
      Object {
        "at": 0,
        "expectedTokens": 2,
        "kind": "answer_ended",
        "marked": true,
        "request": "r-1",
        "tokens": 1,
        "whole": true,
      },
    ],
  },
  Object {
    "kind": "not_run_that_ran",
    "subject": "k-1",
    "trace": Array [
      Object {
        "at": 0,
        "attempt": "k-1/anna",
        "body": "{}",
        "fromService": false,
        "key": "k-1",
        "kind": "call_answered",
        "notRun": true,
        "status": 503,
      },
      Object {
        "at": 0,
        "key": "k-1",
        "kind": "call_run",
        "service": "booking",
      },
    ],
  },
  Object {
    "kind": "double_run",
    "subject": "k-1",
    "trace": Array [
      Object {
        "at": 0,
        "key": "k-1",
        "kind": "call_run",
        "service": "booking",
      },
      Object {
        "at": 0,
        "key": "k-1",
        "kind": "call_run",
        "service": "booking",
      },
    ],
  },
  Object {
    "kind": "answer_without_run",
    "subject": "k-1",
    "trace": Array [
      Object {
        "at": 0,
        "attempt": "k-1/anna",
        "body": "{}",
        "fromService": true,
        "key": "k-1",
        "kind": "call_answered",
        "notRun": false,
        "status": 201,
      },
    ],
  },
  Object {
    "kind": "answer_changed",
    "subject": "k-1",
    "trace": Array [
      Object {
        "at": 0,
        "attempt": "k-1/anna",
        "body": "{}",
        "fromService": true,
        "key": "k-1",
        "kind": "call_answered",
        "notRun": false,
        "status": 201,
      },
      Object {
        "at": 0,
        "attempt": "k-1/anna",
        "body": "[]",
        "fromService": true,
        "key": "k-1",
        "kind": "call_answered",
        "notRun": false,
        "status": 201,
      },
    ],
  },
  Object {
    "kind": "configuration_reverted",
    "subject": "entry-0",
    "trace": Array [
      Object {
        "at": 0,
        "kind": "configuration_seen",
        "process": "entry-0",
        "version": 3,
      },
      Object {
        "at": 0,
        "kind": "configuration_seen",
        "process": "entry-0",
        "version": 2,
      },
    ],
  },
  Object {
    "kind": "cost_lost",
    "subject": "report/output",
    "trace": Array [
      Object {
        "amount": 3,
        "at": 0,
        "kind": "cost_arose",
        "unit": "output",
        "workClass": "report",
      },
      Object {
        "amount": 2,
        "at": 0,
        "kind": "cost_charged",
        "unit": "output",
        "workClass": "report",
      },
    ],
  },
  Object {
    "kind": "cost_doubled",
    "subject": "report/output",
    "trace": Array [
      Object {
        "amount": 3,
        "at": 0,
        "kind": "cost_arose",
        "unit": "output",
        "workClass": "report",
      },
      Object {
        "amount": 6,
        "at": 0,
        "kind": "cost_charged",
        "unit": "output",
        "workClass": "report",
      },
    ],
  },
  Object {
    "kind": "work_on_leaving",
    "subject": "engine-0",
    "trace": Array [
      Object {
        "at": 0,
        "closedFrom": 10,
        "kind": "upstream_leaving",
        "upstream": "engine-0",
      },
      Object {
        "at": 11,
        "kind": "work_started",
        "upstream": "engine-0",
        "work": "g-1",
      },
    ],
  },
]
`
