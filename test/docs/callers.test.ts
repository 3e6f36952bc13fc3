import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { ERROR_ANSWERS } from '../../src/base/common/errors.ts';
import { JOB_PATH } from '../../src/protocol/node/jobFront.ts';

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
  it('does not miss an error kind or differ from the answers that are sent', () => {
    expect(parseErrorRows(page)).toEqual(ERROR_ANSWERS);
  });

  it('does not name other paths of the job interface than those that are served', () => {
    const paths = [...page.matchAll(/`(?:POST|GET|DELETE) (\/\S+?)(?:\/<id>)?`/g)];
    expect(paths.map(([, path]) => path)).toEqual([JOB_PATH, JOB_PATH, JOB_PATH]);
  });
});
