// Formatting rules of @stylistic, strict type-checked rules of typescript-eslint, and restrictions that keep
// the decision library free of input and output and the packages independent of the platform adapter.
import stylistic from '@stylistic/eslint-plugin'
import tseslint from 'typescript-eslint'

const INPUT_OUTPUT_MODULES = [
  'node:*', 'fs', 'net', 'http', 'https', 'dgram', 'timers', 'child_process', 'os', 'worker_threads',
  'fastify', 'undici', 'roarr', 'hot-shots'
]

const NONDETERMINISTIC_GLOBALS = [
  'setTimeout', 'setInterval', 'setImmediate', 'queueMicrotask', 'process', 'performance', 'fetch', 'crypto', 'console'
]

export default tseslint.config(
  { ignores: ['**/dist/', 'target/', '**/generated/', 'reports/'] },
  ...tseslint.configs.strictTypeChecked,
  stylistic.configs.customize({ indent: 2, quotes: 'single', semi: false, commaDangle: 'never', braceStyle: '1tbs', arrowParens: false }),
  {
    languageOptions: {
      parserOptions: { projectService: { allowDefaultProject: ['eslint.config.js', 'packages/command-line/bin/jasminedale.js'] }, tsconfigRootDir: import.meta.dirname }
    },
    rules: {
      '@stylistic/space-before-function-paren': ['error', 'always'],
      '@stylistic/list-style': 'off',
      '@stylistic/arrow-parens': ['error', 'as-needed'],
      '@stylistic/quote-props': ['error', 'as-needed'],
      '@stylistic/member-delimiter-style': ['error', {
        multiline: { delimiter: 'none' }, singleline: { delimiter: 'comma', requireLast: false }
      }],
      '@stylistic/operator-linebreak': ['error', 'after', { overrides: { '?': 'before', ':': 'before', '|': 'before' } }],
      '@stylistic/max-statements-per-line': ['error', { max: 3 }],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true, allowBoolean: true }],
      '@typescript-eslint/no-extraneous-class': 'off',
      'no-restricted-syntax': ['error', {
        selector: 'ImportDeclaration[source.value!="node:test"] > ImportSpecifier',
        message: 'Import modules as a namespace.'
      }],
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: { 'max-lines-per-function': ['error', { max: 40, skipBlankLines: true, skipComments: true }] }
  },
  {
    files: ['packages/decisions/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: INPUT_OUTPUT_MODULES, message: 'The decision library does no input or output.' }] }],
      'no-restricted-globals': ['error', ...NONDETERMINISTIC_GLOBALS],
      'no-restricted-properties': ['error',
        { object: 'Date', property: 'now', message: 'Time is an input of the engine.' },
        { object: 'Math', property: 'random', message: 'Use the seeded generator of the step context.' }
      ]
    }
  },
  {
    // The platform adapter depends on the packages. The packages must not import it or use names of the platform's protocol.
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error',
        { selector: 'ImportDeclaration[source.value!="node:test"] > ImportSpecifier', message: 'Import modules as a namespace.' },
        { selector: 'ImportDeclaration[source.value=/platform/]', message: 'Packages do not import the adapter.' },
        { selector: 'Literal[value=/instances\\.|keyed\\.|jasminedale-(request-id|response-stamp|not-executed|expected-instance|caller-service|deadline-ms)|jasminedale\\u002f(rpc|log-|readiness)/i]', message: 'Names of the platform belong to platform/.' }
      ]
    }
  },
  {
    // The test runner awaits the promises that node:test returns.
    files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' }
  },
  {
    files: ['eslint.config.js', 'packages/*/bin/*.js'],
    extends: [tseslint.configs.disableTypeChecked]
  }
)
