import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';

const ROLES = readFileSync('deploy/system.toml', 'utf8')
  .split(/^\[roles\./m)
  .slice(1);

function readField(role: string, name: string): string {
  return new RegExp(`^${name} = "(.*)"$`, 'm').exec(role)?.[1] ?? '';
}

describe('deploy file', () => {
  it.each(ROLES)(
    'names a metrics address that the settings template of the role does not serve: [roles.%s',
    (role) => {
      const [port = '', path] = readField(role, 'metrics').split('/');
      expect(path).toBe('metrics');
      const template = readFileSync(readField(role, 'template'), 'utf8');
      expect(template).toContain(`"metricsAddress": "{{ip}}:${port}"`);
    },
  );

  it('does not omit a role', () => {
    expect(ROLES).toHaveLength(2);
  });
});
