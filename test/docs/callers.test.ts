import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { ERROR_ANSWERS } from '../../src/base/common/errors.ts';
import { jobSpecSchema, stepSpecSchema } from '../../src/model/scheduler/jobSpec.ts';
import { parseJobSpec } from '../../src/model/scheduler/jobSpecInput.ts';
import { JOB_PATH } from '../../src/protocol/node/jobFront.ts';
import { QUEUE_PATH } from '../../src/protocol/node/queueRequests.ts';

const page = readFileSync('docs/callers.md', 'utf8');

function parseErrorRows(text: string): Record<string, object> {
  const rows = text.matchAll(
    /^\| `(\w+)` +\| (\d{3}) +\| (yes|no) +\| (yes|no|unknown) +\| \S.*\|$/gm,
  );
  const answers: Record<string, object> = {};
  for (const [, kind = '', status, retryable, ran] of rows)
    answers[kind] = { status: Number(status), retryable: retryable === 'yes', ran };
  return answers;
}

describe("the page of the callers' interface", () => {
  describe('errors', () => {
    it('does not miss an error kind or differ from the answers that are sent', () => {
      expect(parseErrorRows(page)).toEqual(ERROR_ANSWERS);
    });
  });

  describe('jobs', () => {
    it('does not name other paths of the job interface than those that are served', () => {
      const paths = [...page.matchAll(/`(?:POST|PUT|GET|DELETE) (\/\S+?)(?:\/<id>)?`/g)];
      const queue = `${QUEUE_PATH}/<queue>`;
      const jobs = `${queue}/jobs`;
      expect(paths.map(([, path]) => path)).toEqual([
        ...[JOB_PATH, JOB_PATH, JOB_PATH],
        ...[jobs, jobs, jobs, queue],
      ]);
    });

    it('does not miss a field of a job of steps or name one that is refused', () => {
      const part = page.slice(page.indexOf('| field of a job'), page.indexOf('A body with faults'));
      const fields = [...part.matchAll(/^\| `(\w+)` /gm)].map(([, name]) => name);
      expect(fields).toEqual([
        ...Object.keys(jobSpecSchema.shape),
        ...Object.keys(stepSpecSchema.shape),
      ]);
    });

    it('does not show a job of steps that is refused', () => {
      const [, example = ''] = /```json\n([\s\S]*?)```/.exec(page) ?? [];
      for (const text of [example, readFileSync('examples/steps.json', 'utf8')])
        expect(parseJobSpec(JSON.parse(text)).swap().orDefault([])).toEqual([]);
    });
  });
});
