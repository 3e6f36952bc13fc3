import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { request } from 'undici';
import { ManualClock } from '../../src/base/common/clock.ts';
import { NodeTimer } from '../../src/base/node/nodeClock.ts';
import type { WorkerCall, WorkerStatus } from '../../src/model/workerCall.ts';
import { HttpWorkerClient } from '../../src/protocol/node/workerClient.ts';
import { MemoryWorker } from '../../src/standins/memoryWorker.ts';
import { WorkerServer } from '../../src/standins/workerServer.ts';

function createWorker(clock: ManualClock): MemoryWorker {
  return MemoryWorker.create({
    id: 'w',
    rack: 'r',
    capacity: { cores: 4, memoryMb: 4_000, accelerators: 0 },
    clock,
    computeWorkMs: () => 10_000,
  });
}

function createStart(
  taskId: string,
  overrides: Partial<Extract<WorkerCall, { op: 'start' }>> = {},
): WorkerCall {
  return {
    op: 'start',
    taskId,
    incarnation: 1,
    taskKind: 'k',
    demand: { cores: 2, memoryMb: 100, accelerators: 0 },
    command: [],
    startBefore: 3_000,
    leaseUntil: 15_000,
    ...overrides,
  };
}

describe('MemoryWorker', () => {
  let clock: ManualClock;
  let worker: MemoryWorker;

  beforeEach(() => {
    clock = ManualClock.create();
    worker = createWorker(clock);
  });

  function getStatus(): WorkerStatus {
    const reply = worker.handle({ op: 'status' });
    if (reply?.kind !== 'status') throw new Error('no status');
    return reply.status;
  }

  describe('starts', () => {
    it('does not accept a start that exceeds its free capacity', () => {
      expect(worker.handle(createStart('a'))).toEqual({ kind: 'done' });
      expect(worker.handle(createStart('b'))).toEqual({ kind: 'done' });
      expect(worker.handle(createStart('c'))).toMatchObject({ reason: 'no_room' });
    });

    it('does not start a run twice, after its start deadline, or after its stop', () => {
      worker.handle(createStart('a'));
      worker.handle(createStart('a'));
      worker.handle({ op: 'stop', taskId: 'b', incarnation: 1, withCheckpoint: false });
      expect(worker.handle(createStart('b'))).toEqual({ kind: 'done' });
      worker.handle({ op: 'forget', taskId: 'b', incarnation: 1 });
      expect(worker.handle(createStart('b'))).toMatchObject({ reason: 'old_incarnation' });
      clock.advance(3_001);
      expect(worker.handle(createStart('c'))).toMatchObject({ reason: 'too_late' });
      expect(worker.starts.map((start) => start.taskId)).toEqual(['a']);
    });

    it('does not omit a failed start from the status', () => {
      worker.failsStarts = true;
      worker.handle(createStart('a'));
      expect(getStatus().runs).toMatchObject([{ taskId: 'a', phase: 'failed' }]);
    });
  });

  describe('leases', () => {
    const renewal = { taskId: 'a', incarnation: 1 };

    it('does not run after the lease expires, or resume for another incarnation', () => {
      worker.handle(createStart('a', { leaseUntil: 5_000 }));
      clock.advance(20_000);
      expect(getStatus().runs).toMatchObject([{ phase: 'suspended', checkpoint: '5000' }]);
      worker.handle({ op: 'renew', leaseUntil: 40_000, runs: [{ taskId: 'a', incarnation: 2 }] });
      expect(getStatus().runs).toMatchObject([{ phase: 'suspended' }]);
      worker.handle({ op: 'renew', leaseUntil: 40_000, runs: [renewal] });
      clock.advance(4_999);
      expect(getStatus().runs).toMatchObject([{ phase: 'running' }]);
      clock.advance(1);
      expect(getStatus().runs).toMatchObject([{ phase: 'finished' }]);
    });

    it('does not free the capacity of a suspended run', () => {
      worker.handle(createStart('a', { leaseUntil: 1_000 }));
      clock.advance(2_000);
      expect(worker.computeUsedResources().cores).toBe(2);
    });

    it('does not let a late renewal shorten a lease', () => {
      worker.handle(createStart('a', { leaseUntil: 9_000 }));
      worker.handle({ op: 'renew', leaseUntil: 2_000, runs: [renewal] });
      clock.advance(5_000);
      expect(getStatus().runs).toMatchObject([{ phase: 'running' }]);
    });
  });

  describe('commands', () => {
    it('does not lose work done before a stop, or remove the run before a forget call', () => {
      worker.handle(createStart('a'));
      clock.advance(2_500);
      worker.handle({ op: 'stop', taskId: 'a', incarnation: 1, withCheckpoint: true });
      clock.advance(60_000);
      expect(getStatus().runs).toMatchObject([{ phase: 'stopped', checkpoint: '2500' }]);
      worker.handle({ op: 'forget', taskId: 'a', incarnation: 1 });
      expect(getStatus().runs).toEqual([]);
    });

    it('does not remove a live run', () => {
      worker.handle(createStart('a'));
      expect(worker.handle({ op: 'forget', taskId: 'a', incarnation: 1 })).toMatchObject({
        reason: 'still_running',
      });
    });

    it('does not run a throttled or slowed task at full speed', () => {
      worker.handle(createStart('a'));
      worker.handle({ op: 'throttle', taskId: 'a', incarnation: 1, share: 0.5 });
      worker.slowdown = 2;
      clock.advance(8_000);
      worker.handle({ op: 'checkpoint', taskId: 'a', incarnation: 1 });
      expect(getStatus().runs).toMatchObject([{ checkpoint: '2000', throttle: 0.5 }]);
      expect(getStatus().samples).toMatchObject([{ cores: 1, slowdown: 2 }]);
    });
  });

  describe('faults', () => {
    it('does not retain runs or the boot id after a restart', () => {
      worker.handle(createStart('a'));
      const { bootId } = getStatus();
      worker.reset();
      expect(getStatus().runs).toEqual([]);
      expect(getStatus().bootId).not.toBe(bootId);
    });

    it('does not answer while it is silent', () => {
      worker.isSilent = true;
      expect(worker.handle({ op: 'status' })).toBeUndefined();
    });
  });
});

describe('WorkerServer', () => {
  let server: WorkerServer;
  const worker = createWorker(ManualClock.create());

  beforeAll(async () => {
    const timer = NodeTimer.create();
    server = await WorkerServer.create({ host: '127.0.0.1', port: 0, worker, timer });
  });

  afterAll(() => {
    server.dispose();
  });

  it('does not alter calls or replies in transit', async () => {
    const client = HttpWorkerClient.create(server.origin);
    expect(await client.send(createStart('a'), 1_000)).toEqual({ kind: 'done' });
    const status = await client.send({ op: 'status' }, 1_000);
    expect(status).toMatchObject({ status: { runs: [{ taskId: 'a', phase: 'running' }] } });
    worker.isSilent = true;
    expect(await client.send({ op: 'status' }, 100)).toBeUndefined();
    worker.isSilent = false;
    client.dispose();
  });

  it('does not accept malformed calls', async () => {
    const send = async (path: string, body: string): Promise<number> => {
      const answer = await request(`${server.origin}${path}`, { method: 'POST', body });
      await answer.body.dump();
      return answer.statusCode;
    };
    expect(await send('/v1/call', '{')).toBe(400);
    expect(await send('/v1/call', '{"op":"explode"}')).toBe(400);
    expect(await send('/other', '{}')).toBe(404);
  });
});
