import { build } from 'esbuild';
import { mkdirSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { format } from 'prettier';

// Writes the JSON Schemas of tables and settings from their zod schemas into schemas/.
const bundle = resolve('node_modules/.cache/bramleyladder/jsonSchemas.mjs');
await build({
  entryPoints: ['tools/jsonSchemas.ts'],
  outfile: bundle,
  bundle: true,
  platform: 'node',
  format: 'esm',
  logLevel: 'warning',
});
const { createJsonSchemas } = await import(pathToFileURL(bundle).href);
mkdirSync('schemas', { recursive: true });
for (const [name, schema] of Object.entries(createJsonSchemas())) {
  const text = await format(JSON.stringify(schema), { parser: 'json', printWidth: 100 });
  writeFileSync(`schemas/${name}`, text);
}
