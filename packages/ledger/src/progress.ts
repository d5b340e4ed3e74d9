import { z } from "zod";

/** Most batches of an epoch that may be settled beyond a gap. */
export const maxBatchesBeyondGap = 1_024;

/** Schema of the progress of one epoch. */
export const progressSchema = z.object({
  /** Every batch up to this sequence is settled. */
  through: z.int(),
  /** Sequences of batches settled beyond a gap, in ascending order. */
  beyond: z.array(z.int()),
  /** Milliseconds since the Unix epoch of the latest settlement. */
  settledAt: z.number(),
  /** Milliseconds since the Unix epoch from which it may be removed. */
  expiresAt: z.number(),
});

/** Which batches of one epoch are settled. */
export type Progress = Readonly<z.output<typeof progressSchema>>;

/** The progress of an epoch without settled batches. */
export const noProgress: Progress = {
  through: 0,
  beyond: [],
  settledAt: 0,
  expiresAt: 0,
};

/** Returns whether a batch is settled. */
export function isSettled(progress: Progress, sequence: number): boolean {
  return sequence <= progress.through || progress.beyond.includes(sequence);
}

/** Returns the progress with one more batch settled. */
export function addSettled(progress: Progress, sequence: number): Progress {
  const beyond = [...progress.beyond, sequence].sort((a, b) => a - b);
  let { through } = progress;
  while (beyond[0] === through + 1) {
    beyond.shift();
    through += 1;
  }
  return { ...progress, through, beyond };
}
