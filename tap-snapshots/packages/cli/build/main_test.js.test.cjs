/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply 1`] = `
lavenderferry: Missing required args for command "apply <file>"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply absent.jsonc 1`] = `
lavenderferry: absent.jsonc: cannot read the file: it does not exist
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply invalid.jsonc 1`] = `
lavenderferry: invalid.jsonc:6: weights: unknown key "weights"
invalid.jsonc:4: splits.alone.parts.left: partner "left" does not exist, but split "alone" uses it
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply old.jsonc --json 1`] = `
{
  "conflict": {
    "ifVersion": 1,
    "version": 2,
    "changes": [
      {
        "entity": "splits",
        "name": "shared",
        "kind": "changed",
        "members": [
          {
            "path": "parts.left",
            "before": 400000,
            "after": 500000
          },
          {
            "path": "parts.right",
            "before": 600000,
            "after": 500000
          }
        ]
      },
      {
        "entity": "classes",
        "name": "report",
        "kind": "added",
        "members": []
      }
    ]
  }
}
lavenderferry: Refused as conflict
exit code 1
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply old.jsonc 1`] = `
Changed between version 1 and version 2:
┌─────────┬────────┬────────┬─────────────┬────────┬────────┐
│ change  │ entity │ name   │ member      │ before │ after  │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ changed │ split  │ shared │ parts.left  │ 400000 │ 500000 │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ changed │ split  │ shared │ parts.right │ 600000 │ 500000 │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ added   │ class  │ report │             │        │        │
└─────────┴────────┴────────┴─────────────┴────────┴────────┘
lavenderferry: Refused as conflict
exit code 1
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply same.jsonc 1`] = `
Version 3 takes effect at 2026-12-03T10:00:00Z
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply unversioned.jsonc --if-version 2 1`] = `
Version 3 takes effect at 2026-12-03T10:00:00Z
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply unversioned.jsonc --if-version two 1`] = `
lavenderferry: --if-version: expected a version, not "two"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry apply unversioned.jsonc 1`] = `
lavenderferry: unversioned.jsonc: the member "version" is missing; add the version that the file was made from, or give --if-version
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry costs --from 2026-12-01 --to 2026-12-03 1`] = `
┌────────────┬─────────┬─────────┬────────┬───────────┐
│ day        │ partner │ class   │ unit   │ amount    │
├────────────┼─────────┼─────────┼────────┼───────────┤
│ 2026-12-03 │ left    │ summary │ output │ 12.400000 │
└────────────┴─────────┴─────────┴────────┴───────────┘
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry costs --from yesterday 1`] = `
lavenderferry: --from: expected a day as YYYY-MM-DD, not "yesterday"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry diff --from 1 --to 2 1`] = `
┌─────────┬────────┬────────┬─────────────┬────────┬────────┐
│ change  │ entity │ name   │ member      │ before │ after  │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ changed │ split  │ shared │ parts.left  │ 400000 │ 500000 │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ changed │ split  │ shared │ parts.right │ 600000 │ 500000 │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ added   │ class  │ report │             │        │        │
└─────────┴────────┴────────┴─────────────┴────────┴────────┘
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry diff --from 7 1`] = `
lavenderferry: Refused as not_found
exit code 1
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry diff 1`] = `
┌─────────┬────────┬────────┬─────────────┬────────┬────────┐
│ change  │ entity │ name   │ member      │ before │ after  │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ changed │ split  │ shared │ parts.left  │ 400000 │ 500000 │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ changed │ split  │ shared │ parts.right │ 600000 │ 500000 │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ added   │ class  │ report │             │        │        │
└─────────┴────────┴────────┴─────────────┴────────┴────────┘
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry diff old.jsonc --from 1 1`] = `
lavenderferry: Expected either a file or --from and --to
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry diff old.jsonc --json 1`] = `
{
  "changes": [
    {
      "entity": "splits",
      "name": "shared",
      "kind": "changed",
      "members": [
        {
          "path": "parts.left",
          "before": 500000,
          "after": 400000
        },
        {
          "path": "parts.right",
          "before": 500000,
          "after": 600000
        }
      ]
    },
    {
      "entity": "classes",
      "name": "report",
      "kind": "removed",
      "members": []
    }
  ]
}
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry diff old.jsonc 1`] = `
┌─────────┬────────┬────────┬─────────────┬────────┬────────┐
│ change  │ entity │ name   │ member      │ before │ after  │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ changed │ split  │ shared │ parts.left  │ 500000 │ 400000 │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ changed │ split  │ shared │ parts.right │ 500000 │ 600000 │
├─────────┼────────┼────────┼─────────────┼────────┼────────┤
│ removed │ class  │ report │             │        │        │
└─────────┴────────┴────────┴─────────────┴────────┴────────┘
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry diff same.jsonc 1`] = `
No differences
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry drain entry-0 1`] = `
VM "entry-0" is draining; 3 running
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry drain entry-9 1`] = `
lavenderferry: Refused as not_found
exit code 1
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry explain r-1 1`] = `
┌──────────────────────────┬─────────┬──────────┬────────────┬───────────────────────┐
│ at                       │ process │ decision │ reason     │ figures               │
├──────────────────────────┼─────────┼──────────┼────────────┼───────────────────────┤
│ 2026-11-30T00:53:20.000Z │ entry-0 │ choose   │ least_load │ {"engine":"engine-1"} │
└──────────────────────────┴─────────┴──────────┴────────────┴───────────────────────┘
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry explain r-2 1`] = `
lavenderferry: No process holds a decision about "r-2"
exit code 1
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry explain r-3 1`] = `
lavenderferry: The steward does not know the path "/operator/v1/explain/r-3"
exit code 1
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry get --frequency 5 1`] = `
lavenderferry: Unknown option "--frequency"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry get --json 1`] = `
{
  "version": 2,
  "effectiveAt": 1796000000000,
  "author": "jaan",
  "partners": {
    "left": {
      "title": "Left"
    },
    "right": {
      "title": "Right"
    }
  },
  "splits": {
    "shared": {
      "parts": {
        "left": 500000,
        "right": 500000
      }
    }
  },
  "classes": {
    "summary": {
      "title": "Sum",
      "targets": {
        "firstTokenMs": 1000,
        "betweenTokensMs": 55,
        "stallMs": 2000,
        "preemptionsPerThousand": 100,
        "completionMs": 120000,
        "percent": 95
      },
      "split": "shared",
      "delivery": "whole"
    },
    "report": {
      "title": "Report",
      "targets": {
        "firstTokenMs": 1000,
        "betweenTokensMs": 55,
        "stallMs": 2000,
        "preemptionsPerThousand": 100,
        "completionMs": 120000,
        "percent": 95
      },
      "split": "shared",
      "delivery": "stream"
    }
  }
}
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry get 1`] = `
Version 2 by jaan, from 2026-11-30T00:53:20.000Z
┌─────────┬────────┬──────────┬─────────────┬────────────────┬─────────┬─────────────┬────────────┬───────┐
│ class   │ split  │ delivery │ first token │ between tokens │ stall   │ preemptions │ completion │ share │
├─────────┼────────┼──────────┼─────────────┼────────────────┼─────────┼─────────────┼────────────┼───────┤
│ summary │ shared │ whole    │ 1000 ms     │ 55 ms          │ 2000 ms │ 100/1000    │ 120000 ms  │ 95 %  │
├─────────┼────────┼──────────┼─────────────┼────────────────┼─────────┼─────────────┼────────────┼───────┤
│ report  │ shared │ stream   │ 1000 ms     │ 55 ms          │ 2000 ms │ 100/1000    │ 120000 ms  │ 95 %  │
└─────────┴────────┴──────────┴─────────────┴────────────────┴─────────┴─────────────┴────────────┴───────┘
┌────────┬─────────┬───────┬───────┐
│ split  │ partner │ title │ share │
├────────┼─────────┼───────┼───────┤
│ shared │ left    │ Left  │ 50 %  │
├────────┼─────────┼───────┼───────┤
│ shared │ right   │ Right │ 50 %  │
└────────┴─────────┴───────┴───────┘
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry history 1`] = `
┌─────────┬────────┬──────────────────────────┬──────────────────────────────────────────────────────────┐
│ version │ author │ in force from            │ changes                                                  │
├─────────┼────────┼──────────────────────────┼──────────────────────────────────────────────────────────┤
│ 1       │ anna   │ 2026-11-30T00:53:20.000Z │ partner left, partner right, split shared, class summary │
├─────────┼────────┼──────────────────────────┼──────────────────────────────────────────────────────────┤
│ 2       │ jaan   │ 2026-11-30T00:53:20.000Z │ split shared, class report                               │
└─────────┴────────┴──────────────────────────┴──────────────────────────────────────────────────────────┘
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry key clinic 1`] = `
lf1.clinic.9ejx2pg7fzI4HvUjZyP_jA
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry key Clinic 1`] = `
lavenderferry: Workspace "Clinic": expected lower-case letters, digits and dashes
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > commands print a steward's results and errors > lavenderferry status 1`] = `
Configuration version 1 in force, 2 accepted
┌─────────┬───────┬─────────────┬───────┐
│ vm      │ role  │ data centre │ state │
├─────────┼───────┼─────────────┼───────┤
│ entry-0 │ entry │ krakow      │ live  │
└─────────┴───────┴─────────────┴───────┘
┌────────┬──────┬─────────────┬───────┐
│ member │ role │ data centre │ state │
└────────┴──────┴─────────────┴───────┘
┌───────────────┬───────────┬───────┐
│ duty          │ holder    │ fence │
├───────────────┼───────────┼───────┤
│ orders/models │ steward-0 │ 3     │
├───────────────┼───────────┼───────┤
│ orders/spare  │ nobody    │ 2     │
└───────────────┴───────────┴───────┘
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry  1`] = `
lavenderferry: Expected a command; see --help
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry --help 1`] = `
lavenderferry/0.1.0

Usage:
  $ lavenderferry <command> [options]

Commands:
  get                          Print the newest configuration
  apply <file>                 Set classes, targets and splits from a file
  diff [file]                  Print what apply would change, or what versions changed
  history                      Print the accepted versions
  status                       Print the version in force, VMs, members and duties
  costs                        Print the settled cost by partner and class
  explain <request> [...logs]  Print the decisions about one request, also from saved logs
  drain <vm>                   Ask a VM to take no new work and finish what runs
  key <workspace>              Print the caller key of a workspace

For more info, run any command with the \`--help\` flag:
  $ lavenderferry get --help
  $ lavenderferry apply --help
  $ lavenderferry diff --help
  $ lavenderferry history --help
  $ lavenderferry status --help
  $ lavenderferry costs --help
  $ lavenderferry explain --help
  $ lavenderferry drain --help
  $ lavenderferry key --help

Options:
  --settings <file>  Settings file in JSON with comments
  --json             Print JSON in place of tables
  -h, --help         Display this message
  -v, --version      Display version number
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry --version 1`] = `
lavenderferry/0.1.0 PLATFORM node-NODE
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry apply --help 1`] = `
lavenderferry/0.1.0

Usage:
  $ lavenderferry apply <file>

Options:
  --if-version <n>   Version that the file was made from
  --settings <file>  Settings file in JSON with comments
  --json             Print JSON in place of tables
  -h, --help         Display this message
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry get --settings absent.jsonc 1`] = `
lavenderferry: absent.jsonc: cannot read the file: it does not exist
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry get --settings same.jsonc 1`] = `
lavenderferry: same.jsonc:1: stewards: missing; expected array
same.jsonc:1: operatorKey: missing; expected string
same.jsonc:1: version: unknown key "version"
same.jsonc:1: partners: unknown key "partners"
same.jsonc:1: splits: unknown key "splits"
same.jsonc:1: classes: unknown key "classes"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry get --settings unreachable.jsonc 1`] = `
lavenderferry: No steward answered at http://127.0.0.1:1
exit code 1
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry get --settings wrong_key.jsonc 1`] = `
lavenderferry: Refused as unauthenticated
exit code 1
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry get 1`] = `
lavenderferry: The option --settings is missing
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry key clinic --settings no_caller_secret.jsonc 1`] = `
lavenderferry: The settings have no member "callerSecret"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > help, usage errors and settings errors are printed > lavenderferry reticulate 1`] = `
lavenderferry: Unknown command "reticulate"; see --help
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check  1`] = `
lavenderferry-check: Expected a kind of file (entry, steward, operator, configuration) and one file
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check --help 1`] = `
lavenderferry-check/0.1.0

Usage:
  $ lavenderferry-check <entry|steward|operator|configuration> <file>

Options:
  -h, --help     Display this message
  -v, --version  Display version number
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check --version 1`] = `
lavenderferry-check/0.1.0 PLATFORM node-NODE
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check configuration 1`] = `
lavenderferry-check: Expected a kind of file (entry, steward, operator, configuration) and one file
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check configuration dangling.jsonc 1`] = `
lavenderferry-check: dangling.jsonc:4: splits.alone.parts.left: partner "left" does not exist, but split "alone" uses it
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check configuration invalid.jsonc 1`] = `
lavenderferry-check: invalid.jsonc:6: weights: unknown key "weights"
invalid.jsonc:4: splits.alone.parts.left: partner "left" does not exist, but split "alone" uses it
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check configuration same.jsonc --force 1`] = `
lavenderferry-check: Unknown option "--force"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check configuration same.jsonc 1`] = `
same.jsonc: no errors found
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check configuration same.jsonc old.jsonc 1`] = `
lavenderferry-check: Expected a kind of file (entry, steward, operator, configuration) and one file
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check entry operator.jsonc 1`] = `
lavenderferry-check: operator.jsonc:1: vm: missing; expected string
operator.jsonc:1: dataCentre: missing; expected string
operator.jsonc:1: region: missing; expected string
operator.jsonc:1: peers: missing; expected object
operator.jsonc:1: platform: missing; expected string
operator.jsonc:1: callers: missing; expected object
operator.jsonc:1: streamSecret: missing; expected string
operator.jsonc:1: stewards: unknown key "stewards"
operator.jsonc:1: operatorKey: unknown key "operatorKey"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check operator operator.jsonc 1`] = `
operator.jsonc: no errors found
exit code 0
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check operator same.jsonc 1`] = `
lavenderferry-check: same.jsonc:1: stewards: missing; expected array
same.jsonc:1: operatorKey: missing; expected string
same.jsonc:1: version: unknown key "version"
same.jsonc:1: partners: unknown key "partners"
same.jsonc:1: splits: unknown key "splits"
same.jsonc:1: classes: unknown key "classes"
exit code 2
`

exports[`packages/cli/build/main_test.js > TAP > the settings checker reports whether files are valid > lavenderferry-check weights same.jsonc 1`] = `
lavenderferry-check: Expected a kind of file (entry, steward, operator, configuration) and one file
exit code 2
`
