import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 300_000,
    hookTimeout: 300_000,
    maxWorkers: 4,
    reporters: ['default', './tools/summaryReporter.ts'],
  },
});
