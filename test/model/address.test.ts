import { describe, expect, it } from 'vitest';
import { parseValue } from '../../src/base/common/parse.ts';
import { addressSchema, listenAddressSchema, parseAddress } from '../../src/model/address.ts';
import { INVALID_ADDRESSES } from '../support/invalidValues.ts';

describe('address', () => {
  describe('of a process to connect to', () => {
    it.each(INVALID_ADDRESSES)('%j is not accepted, so that nothing dials it', (address) => {
      expect(parseValue(addressSchema, address).isLeft()).toBe(true);
    });

    it.each(['10.0.0.1:1', '127.0.0.1:65535', 'localhost:80', 'a.b-c.example:7000', 'my_host:9'])(
      '%j is not rejected',
      (address) => {
        expect(parseValue(addressSchema, address).isRight()).toBe(true);
        expect(new URL(`ws://${address}/`).host).not.toBe('');
      },
    );
  });

  describe('to listen on', () => {
    it('does not lack port 0, which selects a free port', () => {
      expect(parseValue(listenAddressSchema, '127.0.0.1:0').isRight()).toBe(true);
      expect(parseAddress('127.0.0.1:0')).toEqual({ host: '127.0.0.1', port: 0 });
    });

    it.each(['127.0.0.1:65536', '127.0.0.1:-1', '127.0.0.1'])('%j is not accepted', (address) => {
      expect(parseValue(listenAddressSchema, address).isLeft()).toBe(true);
    });
  });
});
