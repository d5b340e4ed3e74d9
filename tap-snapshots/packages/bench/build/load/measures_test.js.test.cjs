/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/bench/build/load/measures_test.js > TAP > the table and the page show the figures without the warm-up > page 1`] = `
<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>kowalczyk</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
td, th { padding: 2px 8px; text-align: right; border-bottom: 1px solid #ccc; }
</style>
<h1>kowalczyk</h1>
<p>Seed 1 &lt;note></p>
<table><tr><th>policy</th><th>class</th><th>requests</th><th>met %</th><th>preempt/1000</th><th>stall ms p50/p95/p99</th><th>stall total s</th><th>first token ms</th><th>between tokens ms</th><th>wasted</th><th>goodput/s</th><th>refused</th><th>refused after ms</th></tr>
<tr><td>adaptive</td><td>all</td><td>2</td><td>50.0</td><td>100.0</td><td>0/0/0</td><td>0.0</td><td>100/100/100</td><td>20/30/30</td><td>5</td><td>0.1</td><td>overloaded:1</td><td>500/500/500</td></tr>
<tr><td>adaptive</td><td>tag</td><td>2</td><td>50.0</td><td></td><td>0/0/0</td><td>0.0</td><td>100/100/100</td><td>20/30/30</td><td></td><td></td><td>overloaded:1</td><td>500/500/500</td></tr>
<tr><td>adaptive</td><td>summary</td><td>0</td><td>0.0</td><td></td><td>0/0/0</td><td>0.0</td><td>0/0/0</td><td>0/0/0</td><td></td><td></td><td></td><td>0/0/0</td></tr></table>
<h2>Preemptions per 1,000 generations</h2>
<svg width="720" height="22"><text x="0" y="14">adaptive</text><rect x="220" y="0" width="400" height="18" fill="#7a6fb0"/><text x="626" y="14">100.0</text></svg>
<h2>Stall p99 (ms)</h2>
<svg width="720" height="22"><text x="0" y="14">adaptive</text><rect x="220" y="0" width="0" height="18" fill="#7a6fb0"/><text x="226" y="14">0.0</text></svg>
<h2>First token p99 (ms)</h2>
<svg width="720" height="22"><text x="0" y="14">adaptive</text><rect x="220" y="0" width="400" height="18" fill="#7a6fb0"/><text x="626" y="14">100.0</text></svg>
<h2>Between tokens p99 (ms)</h2>
<svg width="720" height="22"><text x="0" y="14">adaptive</text><rect x="220" y="0" width="400" height="18" fill="#7a6fb0"/><text x="626" y="14">30.0</text></svg>
<h2>Requests that met their targets (%)</h2>
<svg width="720" height="22"><text x="0" y="14">adaptive</text><rect x="220" y="0" width="400" height="18" fill="#7a6fb0"/><text x="626" y="14">50.0</text></svg>
</html>

`

exports[`packages/bench/build/load/measures_test.js > TAP > the table and the page show the figures without the warm-up > table 1`] = `
policy    class    requests  met %  preempt/1000  stall ms p50/p95/p99  stall total s  first token ms  between tokens ms  wasted  goodput/s  refused       refused after ms
adaptive  all      2         50.0   100.0         0/0/0                 0.0            100/100/100     20/30/30           5       0.1        overloaded:1  500/500/500
adaptive  tag      2         50.0                 0/0/0                 0.0            100/100/100     20/30/30                              overloaded:1  500/500/500
adaptive  summary  0         0.0                  0/0/0                 0.0            0/0/0           0/0/0                                               0/0/0
`
