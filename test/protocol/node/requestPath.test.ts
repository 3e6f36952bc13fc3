import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { parseJobCall } from '../../../src/protocol/node/jobFront.ts';
import { JsonServer } from '../../../src/protocol/node/jsonServer.ts';
import { parseOperatorCall } from '../../../src/protocol/node/operatorFront.ts';
import { readRequestTarget } from '../../../src/protocol/node/requestPath.ts';

describe('request paths', () => {
  describe('request lines', () => {
    it('does not fail on a target that is not a URL', () => {
      expect(readRequestTarget('//')).toEqual({ path: '//', query: '' });
      expect(readRequestTarget('*')).toEqual({ path: '*', query: '' });
      expect(readRequestTarget('/a?b=1?2')).toEqual({ path: '/a', query: 'b=1?2' });
    });

    it('does not treat the host of an absolute URL as part of the path', () => {
      expect(readRequestTarget('http://host:1/a/b?c=d')).toEqual({ path: '/a/b', query: 'c=d' });
    });
  });

  describe('malformed percent escapes', () => {
    const request = { method: 'GET', query: new URLSearchParams(), headers: {}, body: undefined };

    it('do not throw in the parsers of job and operator calls', () => {
      expect(parseJobCall({ ...request, path: '/bramleyladder/v1/jobs/%E0' })).toBeUndefined();
      expect(parseOperatorCall({ ...request, path: '/v1/explain/%E0' })).toBeUndefined();
    });
  });

  describe('over a socket', () => {
    let server: JsonServer;

    beforeEach(async () => {
      server = await JsonServer.create('127.0.0.1', 0, ({ path }, answer) => {
        answer({ kind: 'value', value: { path } });
        return true;
      });
    });

    afterEach(() => {
      server.dispose();
    });

    it('does not crash the process on a target that is not a URL', async () => {
      const text = await new Promise<string>((resolve) => {
        const socket = connect(server.port, '127.0.0.1', () => {
          socket.write('GET // HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n');
        });
        let received = '';
        socket.on('data', (chunk) => (received += chunk.toString()));
        socket.on('close', () => {
          resolve(received);
        });
      });
      expect(text).toContain('{"path":"//"}');
    });
  });
});
