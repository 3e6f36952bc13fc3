import { request as sendRequest } from 'undici';
import { LogWriter } from '../base/node/logWriter.ts';
import { NodeTimer } from '../base/node/nodeClock.ts';
import type { EndpointAnnouncement } from '../model/endpoint.ts';
import { EndpointServer } from '../standins/endpointServer.ts';
import { runUntilStopped } from './runDaemon.ts';

const ANNOUNCEMENT_INTERVAL_MS = 2_000;
/** Longer than the 2 s in which every reachable entry learns that the endpoint is leaving. */
const DEREGISTRATION_DELAY_MS = 2_500;

export interface EndpointOptions {
  /** Announcement address of the local agent. */
  readonly agent: string;
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  readonly connections: number;
  readonly serviceMs: number;
}

async function sendAnnouncement(
  agent: string,
  announcement: EndpointAnnouncement,
  log: LogWriter,
): Promise<void> {
  try {
    const answer = await sendRequest(`${agent}/v1/endpoints`, {
      method: 'PUT',
      body: JSON.stringify(announcement),
      headersTimeout: ANNOUNCEMENT_INTERVAL_MS,
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200)
      log.write('error', 'announcement_refused', { status: answer.statusCode, text });
  } catch (error) {
    log.write('warn', 'agent_silent', { agent, reason: (error as Error).message });
  }
}

async function sendDeregistration(agent: string, name: string): Promise<void> {
  try {
    const answer = await sendRequest(`${agent}/v1/endpoints/${name}`, { method: 'DELETE' });
    await answer.body.dump();
  } catch {
    // Without its agent the endpoint receives no attempts, so the failure has no effect.
  }
}

/** `endpoint`: runs the stand-in of an endpoint, which announces itself to its local agent. */
export async function runEndpoint(options: EndpointOptions): Promise<void> {
  const { agent, name, service, host, port, slots, connections } = options;
  const log = LogWriter.create();
  const server = await EndpointServer.create({ host, port, name, timer: NodeTimer.create() });
  server.serviceMs = options.serviceMs;
  const announcement = { name, service, origin: server.origin, slots, connections };
  log.write('info', 'endpoint_started', { name, origin: server.origin });
  const announcementTimer = setInterval(() => {
    void sendAnnouncement(agent, announcement, log);
  }, ANNOUNCEMENT_INTERVAL_MS);
  await sendAnnouncement(agent, announcement, log);
  let resolveStopped: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });
  await runUntilStopped({
    stopped,
    stop: () => {
      clearInterval(announcementTimer);
      void sendDeregistration(agent, name).then(() =>
        setTimeout(resolveStopped, DEREGISTRATION_DELAY_MS),
      );
    },
    dispose: () => {
      server.dispose();
    },
  });
}
