import { readFileSync } from 'node:fs';
import { URL } from 'node:url';
import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import importX from 'eslint-plugin-import-x';
import tseslint from 'typescript-eslint';

/** Source folders from the lowest layer to the highest; each one may import only from itself and the ones before it. */
const LAYERS = [
  ['src/base/common', []],
  ['src/base/node', ['src/base/common']],
  ['src/model', ['src/base/common']],
  ['src/systems', ['src/base/common', 'src/model']],
  ['src/protocol/common', ['src/base/common', 'src/model']],
  ['src/protocol/node', ['src/base', 'src/model', 'src/protocol/common']],
  ['src/standins', ['src/base', 'src/model', 'src/systems', 'src/protocol']],
  ['src/daemons', ['src/base', 'src/model', 'src/systems', 'src/protocol']],
  [
    'src/platform',
    ['src/base', 'src/model', 'src/systems', 'src/protocol', 'src/daemons', 'src/cli'],
  ],
  ['src/lib', ['src/base', 'src/model', 'src/systems', 'src/protocol', 'src/daemons']],
];

const layerZones = LAYERS.map(([target, allowed]) => ({
  target: `./${target}`,
  from: './src',
  except: [target, ...allowed].map((folder) => `./${folder.replace('src/', '')}`),
  message: `${target} may import only from: ${[target, ...allowed].join(', ')}`,
}));

/** Verbs that begin the names of functions and methods, as the glossary lists them. */
const VERBS = [
  ...(
    readFileSync(new URL('docs/glossary.md', import.meta.url), 'utf8').split('## Verbs')[1] ?? ''
  ).matchAll(/`([a-z]+)`/g),
].map(([, verb]) => verb);

const VERB_NAMES = { regex: `^(values|keys)$|^(${VERBS.join('|')})([A-Z0-9]|$)`, match: true };

const PURE_FOLDERS = ['src/base/common', 'src/model', 'src/systems', 'src/protocol/common'];

export default tseslint.config(
  { ignores: ['dist', 'target', 'node_modules', 'coverage', 'vitest.config.ts'] },
  eslint.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { 'import-x': importX },
    rules: {
      'import-x/no-restricted-paths': [
        'error',
        { basePath: import.meta.dirname, zones: layerZones },
      ],
      'import-x/no-cycle': 'off',
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/explicit-member-accessibility': ['error', { accessibility: 'no-public' }],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/no-extraneous-class': ['error', { allowStaticOnly: true }],
      'max-lines': ['error', { max: 320, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: PURE_FOLDERS.map((folder) => `${folder}/**/*.ts`),
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['node:*', '@grpc/*', 'undici', 'consola', 'prom-client', 'ws'],
              message: 'Pure layers do no I/O.',
            },
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'process',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'performance',
        'fetch',
        'Date',
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Math', property: 'random', message: 'Use SeededRandom.' },
      ],
    },
  },
  {
    files: ['test/**/*.ts', 'bench/**/*.ts', 'specs/**/*.ts'],
    rules: { 'max-lines-per-function': 'off', '@typescript-eslint/no-non-null-assertion': 'off' },
  },
  {
    files: ['src/**/*.ts'],
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: ['function', 'classMethod'], format: ['camelCase'], custom: VERB_NAMES },
      ],
    },
  },
  { files: ['**/*.mjs'], ...tseslint.configs.disableTypeChecked },
  prettier,
);
