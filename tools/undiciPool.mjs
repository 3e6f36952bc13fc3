// Stands for undici in the agent's bundle: only the connection pool with its calls. The whole
// package with fetch, caches and WebSocket is half of that bundle and is not used by agents.
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

Object.assign(Dispatcher.prototype, api);

export { Pool };
