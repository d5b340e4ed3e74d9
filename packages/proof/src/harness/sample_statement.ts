import type { Statement } from "@lavenderferry/configuration";

const targets = {
  firstTokenMs: 1_000,
  betweenTokensMs: 55,
  stallMs: 2_000,
  preemptionsPerThousand: 100,
  completionMs: 120_000,
  percent: 95,
};

/** Valid configuration with two partners, three splits and four classes. */
export const sampleStatement: Statement = {
  partners: {
    kowalczyk: { title: "Kowalczyk i Synowie Oddzwanianie" },
    torutoode: { title: "Tallinna Torutööde AS" },
  },
  splits: {
    "kowalczyk-alone": { parts: { kowalczyk: 1_000_000 } },
    "torutoode-alone": { parts: { torutoode: 1_000_000 } },
    shared: { parts: { kowalczyk: 400_000, torutoode: 600_000 } },
  },
  classes: {
    summary: {
      title: "Summaries for agents",
      targets,
      split: "kowalczyk-alone",
      delivery: "whole",
    },
    tag: { title: "Tags", targets, split: "shared", delivery: "whole" },
    report: {
      title: "Survey reports",
      targets,
      split: "torutoode-alone",
      delivery: "stream",
    },
    booking: {
      title: "Bookings and confirmations",
      targets,
      split: "shared",
      delivery: "stream",
    },
  },
};
