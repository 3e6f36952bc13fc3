import { Left, Right } from 'purify-ts/Either';
import type { Either } from 'purify-ts/Either';
import type { ValueFault } from '../../base/common/parse.ts';
import { parseValue } from '../../base/common/parse.ts';
import * as z from 'zod/mini';
import type { OperatorCall } from '../../model/effects.ts';
import { checkTables } from '../../model/tableChecks.ts';
import type { JsonRequest } from './jsonServer.ts';
import { decodePathSegment } from './requestPath.ts';

/** Path of the operator interface on the operators' port. */
export const OPERATOR_PATH = '/v1';

const applyBodySchema = z.strictObject({ baseRevision: z.int(), tables: z.unknown() });

/**
 * Parses an operator call: `GET /v1/config`, `PUT /v1/config`, `PUT /v1/zones/<zone>/out|in`,
 * `GET /v1/status`, `GET /v1/explain/<subject>`. Returns undefined for other paths.
 */
export function parseOperatorCall(
  request: JsonRequest,
): Either<ValueFault[], OperatorCall> | undefined {
  const [, version, resource, subject, action, ...rest] = request.path
    .split('/')
    .map((segment) => decodePathSegment(segment));
  if (`/${version ?? ''}` !== OPERATOR_PATH || rest.length > 0) return undefined;
  if (resource === 'config' && request.method === 'GET') return Right({ kind: 'showConfig' });
  if (resource === 'config' && request.method === 'PUT') {
    // The paths of faults are relative to the tables that the operator submitted.
    return parseValue(applyBodySchema, request.body).chain(({ baseRevision, tables }) =>
      checkTables(tables).map((checked): OperatorCall => ({
        kind: 'applyConfig',
        baseRevision,
        tables: checked,
      })),
    );
  }
  if (resource === 'zones' && request.method === 'PUT' && subject !== undefined) {
    if (action !== 'out' && action !== 'in')
      return Left([{ path: 'action', message: 'must be out or in' }]);
    return Right({ kind: 'setZone', zone: subject, out: action === 'out' });
  }
  if (resource === 'status' && request.method === 'GET') return Right({ kind: 'status' });
  if (resource === 'explain' && request.method === 'GET' && subject !== undefined)
    return Right({ kind: 'explain', subject });
  return undefined;
}
