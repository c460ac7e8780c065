import {type FlatXoConfig} from 'xo';

const config: FlatXoConfig = [
	{ignores: ['dist', 'dist-bench', 'dist-faulty', 'src/lib/generated']},
	{
		rules: {
			// Retries, periodic tasks and polling are sequential: each iteration depends on the previous one.
			'no-await-in-loop': 'off',
			// Loops here wait for variables that other callbacks of the event loop change, which the rule does not detect.
			'no-unmodified-loop-condition': 'off',
			// Functions of servers and queues take their settings, their state and a message as separate parameters.
			'max-params': ['error', 5],
			// A default case may call assertNever, which fails to compile when a case of the union is missing.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {allowDefaultCaseForExhaustiveSwitch: true, considerDefaultExhaustiveForUnions: true}],
		},
	},
	{
		// Flags for opening files are combined with bitwise operators.
		files: ['src/lib/timeline/line-log.ts'],
		rules: {'no-bitwise': 'off'},
	},
	{
		// Field names of the platform's messages do not follow the naming convention.
		files: ['platform/**', 'stand-ins/platform-store/**', 'stand-ins/settings-template.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// Only common/clock.ts reads clocks: see "Elapsed and awake time" in docs/DESIGN.md.
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
			// Tests measure from outside the library and may read clocks directly.
			'no-restricted-properties': 'off',
			// The test runner awaits its tests itself.
			'@typescript-eslint/no-floating-promises': 'off',
			// Assertions on one member of an awaited result are easier to read in one line.
			'unicorn/no-await-expression-member': 'off',
			// Item keys such as 'pool/logs' are property names in tests.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default config;
