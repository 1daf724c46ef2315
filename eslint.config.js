const path = require('node:path');
const gts = require('gts');

// Layers from lowest to highest. A file imports from its own layer or a lower one.
const LAYERS = [
  'src/base/common',
  'src/base/node',
  'src/protocol',
  'src/decision/common',
  'src/storage/common',
  'src/storage/node',
  'src/endpoint/common',
  'src/endpoint/node',
  'src/gateway/common',
  'src/gateway/node',
  'src/platform',
  'src/entry/node',
  'src/side/node',
  'src/daemon',
  'src/tool',
  'standins',
  'bench',
  'soak',
  'test',
];

// Headers, calls and the environment variable of the platform.
const PLATFORM_WIRE_NAME =
  /^x-rhubarbvane-|^kv-(from|fetch)$|^\/(report|kv-|hold-|objects\/)|^RHUBARBVANE_NODE_FILE$/i;

const NODE_FREE = /^src\/[a-z]+\/common\//;

function layerOf(file) {
  return LAYERS.findIndex(layer => file.startsWith(layer + '/'));
}

const houseRules = {
  'one-way-layers': {
    create(context) {
      const own = path.relative(__dirname, context.filename);
      return {
        ImportDeclaration(node) {
          const target = node.source.value;
          if (!target.startsWith('.')) {
            if (NODE_FREE.test(own) && target.startsWith('node:')) {
              context.report({node, message: 'a common module imports no node: module'});
            }
            return;
          }
          const imported = path.relative(__dirname, path.resolve(path.dirname(context.filename), target));
          const from = layerOf(own);
          const to = layerOf(imported);
          const isRoleCrossing = own.startsWith('src/entry/') && imported.startsWith('src/side/');
          const isReverseCrossing = own.startsWith('src/side/') && imported.startsWith('src/entry/');
          if (to > from || isRoleCrossing || isReverseCrossing) {
            context.report({node, message: `${own} may not import from ${imported}`});
          }
        },
      };
    },
  },
  'namespace-imports': {
    create(context) {
      return {
        ImportSpecifier(node) {
          context.report({node, message: 'import the module as a namespace'});
        },
        ImportDefaultSpecifier(node) {
          context.report({node, message: 'import the module as a namespace'});
        },
        ExportDefaultDeclaration(node) {
          context.report({node, message: 'no default exports'});
        },
      };
    },
  },
  'snake-case-files': {
    create(context) {
      return {
        Program(node) {
          const name = path.basename(context.filename);
          if (!/^[a-z0-9_]+(\.test)?\.ts$/.test(name)) {
            context.report({node, message: `file name ${name} is not snake_case`});
          }
        },
      };
    },
  },
  'wire-names-in-adapter': {
    create(context) {
      const own = path.relative(__dirname, context.filename);
      if (!own.startsWith('src/') || own.startsWith('src/platform/')) {
        return {};
      }
      return {
        Literal(node) {
          if (typeof node.value === 'string' && PLATFORM_WIRE_NAME.test(node.value)) {
            context.report({node, message: `the platform's wire name ${node.value} belongs in src/platform`});
          }
        },
      };
    },
  },
  'short-modules': {
    create(context) {
      return {
        Program(node) {
          if (context.sourceCode.lines.length > 400) {
            context.report({node, message: 'split this module: it has over 400 lines'});
          }
        },
      };
    },
  },
};

module.exports = [
  {ignores: ['build/**', 'target/**', 'journal/**', 'node_modules/**', 'src/protocol/generated/**', 'scripts/**', 'eslint.config.js', '.prettierrc.js']},
  ...gts,
  {
    files: ['**/*.ts'],
    plugins: {house: {rules: houseRules}},
    rules: {
      'house/one-way-layers': 'error',
      'house/namespace-imports': 'error',
      'house/snake-case-files': 'error',
      'house/short-modules': 'error',
      'house/wire-names-in-adapter': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      eqeqeq: 'error',
    },
  },
];
