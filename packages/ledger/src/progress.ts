import { z } from "zod";

/** Most batches of an epoch that may be settled after a gap. */
export const maxBeyond = 1_024;

/** Schema of the progress of one epoch. */
export const progressSchema = z.object({
  /** Every batch up to this sequence is settled. */
  through: z.int(),
  /** Batches settled after a gap, in ascending order. */
  beyond: z.array(z.int()),
  /** Milliseconds since the Unix epoch of the latest settlement. */
  settledAt: z.number(),
  /** Milliseconds since the Unix epoch after which it may be removed. */
  expiresAt: z.number(),
});

/** Which batches of one epoch are settled. */
export type Progress = Readonly<z.output<typeof progressSchema>>;

/** The progress of an epoch of which nothing is settled. */
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

/** Returns the progress after one more batch was settled. */
export function addSettled(progress: Progress, sequence: number): Progress {
  const beyond = [...progress.beyond, sequence].sort((a, b) => a - b);
  let { through } = progress;
  while (beyond[0] === through + 1) {
    beyond.shift();
    through += 1;
  }
  return { ...progress, through, beyond };
}
