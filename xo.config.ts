import {type FlatXoConfig} from 'xo';

const config: FlatXoConfig = [
	{ignores: ['dist', 'dist-bench', 'dist-faulty', 'src/lib/generated']},
	{
		rules: {
			// Retries, rounds and polls are sequences: each step needs the one before.
			'no-await-in-loop': 'off',
			// Loops here wait for what other events of the one loop change; the rule cannot see that.
			'no-unmodified-loop-condition': 'off',
			// A server or a queue is handed its settings, its state and its message.
			'max-params': ['error', 5],
			// Unions are exhausted by assertNever, which fails to compile when a case is missing.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {allowDefaultCaseForExhaustiveSwitch: true, considerDefaultExhaustiveForUnions: true}],
		},
	},
	{
		// Flags of the operating system are joined by bits.
		files: ['src/lib/timeline/line-log.ts'],
		rules: {'no-bitwise': 'off'},
	},
	{
		// What the platform's calls name is not ours to spell.
		files: ['platform/**', 'stand-ins/platform-store/**', 'stand-ins/settings-template.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// What counts as time stands in one place: see "Elapsed and awake time" in docs/DESIGN.md.
		files: ['src/lib/**/*.ts'],
		rules: {
			'no-restricted-properties': [
				'error',
				{object: 'Date', property: 'now', message: 'Use a function of common/clock.ts.'},
				{object: 'performance', property: 'now', message: 'Use a function of common/clock.ts.'},
			],
		},
	},
	{
		files: ['src/lib/common/clock.ts'],
		rules: {'no-restricted-properties': 'off'},
	},
	{
		files: ['**/*.test.ts', 'scenarios/**'],
		rules: {
			// Tests stand outside of what they measure.
			'no-restricted-properties': 'off',
			// The test runner waits for its tests by itself.
			'@typescript-eslint/no-floating-promises': 'off',
			// An assertion on one field of an outcome reads best in one line.
			'unicorn/no-await-expression-member': 'off',
			// Item keys, as in 'pool/logs', are property names here.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default config;
