/**
 * Compiles policy programs, which are written in the Common Expression
 * Language (CEL). CEL terminates by construction and has no I/O. In addition,
 * this module limits the size of a program and the nesting of its loops.
 *
 * @module
 */
import {
	celEnv, CelScalar, isCelError, isCelList, isCelMap, isCelUint, parse, plan, type CelValue,
} from '@bufbuild/cel';
import {err, ok, type Result} from 'neverthrow';
import {type Policy} from '../configuration/item.js';
import {decisionSchema, type Decision} from './decision.js';
import {sampleRequests, type RequestAttributes} from './request-attributes.js';

/** A problem in a program, and its location. @public */
export type PolicyProblem = {
	/** `decision`, or `variables[i].expression`. */
	readonly field: string;
	readonly message: string;
};

/** A compiled program. @public */
export type CompiledPolicy = {
	readonly name: string;
	/**
	 * Runs the program on one request.
	 *
	 * @returns The decision, or the problem if the program failed or its result is no valid decision.
	 */
	readonly decide: (request: RequestAttributes) => Result<Decision, PolicyProblem>;
};

type Program = (bindings: Readonly<Record<string, unknown>>) => unknown;

type Step = {
	readonly name: string;
	readonly field: string;
	readonly program: Program;
};

/** Maximum number of syntax nodes of one expression. */
const maximumNodeCount = 400;
const maximumLoopDepth = 1;

type Cost = {readonly nodes: number; readonly loopDepth: number};

/** Counts the nodes and the depth of nested loops in a syntax tree, whose nodes are plain objects. */
function measureCost(value: unknown): Cost {
	if (typeof value !== 'object' || value === null) {
		return {nodes: 0, loopDepth: 0};
	}

	let nodes = 'exprKind' in value ? 1 : 0;
	let loopDepth = 0;
	for (const child of Object.values(value)) {
		const cost = measureCost(child);
		nodes += cost.nodes;
		loopDepth = Math.max(loopDepth, cost.loopDepth);
	}

	const isLoop = 'case' in value && value.case === 'comprehensionExpr';
	return {nodes, loopDepth: loopDepth + (isLoop ? 1 : 0)};
}

function compileExpression(text: string, field: string, variableNames: readonly string[]): Result<Program, PolicyProblem> {
	try {
		const {expr} = parse(text);
		const cost = measureCost(expr);
		if (cost.nodes > maximumNodeCount) {
			return err({field, message: `the expression has ${cost.nodes} syntax nodes; at most ${maximumNodeCount} are allowed`});
		}

		if (cost.loopDepth > maximumLoopDepth) {
			return err({field, message: 'a loop (map, filter, all, exists) inside another is not allowed'});
		}

		const names = ['request', ...variableNames];
		const environment = celEnv({variables: Object.fromEntries(names.map(name => [name, CelScalar.DYN]))});
		return ok(plan(environment, expr) as Program);
	} catch (error) {
		return err({field, message: (error as Error).message});
	}
}

function compileSteps(policy: Policy): Result<readonly Step[], readonly PolicyProblem[]> {
	const problems: PolicyProblem[] = [];
	const steps: Step[] = [];
	const expressions = [
		...policy.variables.map((variable, index) => ({...variable, field: `variables[${index}].expression`})),
		{name: 'decision', expression: policy.decision, field: 'decision'},
	];
	const names: string[] = [];
	for (const {name, expression, field} of expressions) {
		if (names.includes(name) || name === 'request') {
			problems.push({field, message: `the name "${name}" is taken`});
			continue;
		}

		const program = compileExpression(expression, field, names);
		if (program.isErr()) {
			problems.push(program.error);
			continue;
		}

		names.push(name);
		steps.push({name, field, program: program.value});
	}

	return problems.length === 0 ? ok(steps) : err(problems);
}

/** Converts a CEL value into the equivalent JSON value. */
function convertValue(value: unknown): unknown {
	if (typeof value === 'bigint') {
		return Number(value);
	}

	if (isCelUint(value)) {
		return Number(value.value);
	}

	if (isCelList(value)) {
		return [...value].map(element => convertValue(element));
	}

	if (isCelMap(value)) {
		return Object.fromEntries([...value as Iterable<readonly [string | number, CelValue]>].map(([key, element]) => [String(key), convertValue(element)]));
	}

	return value;
}

function runSteps(steps: readonly Step[], request: RequestAttributes): Result<Decision, PolicyProblem> {
	const bindings: Record<string, unknown> = {request: {...request, size: BigInt(request.size)}};
	for (const {name, field, program} of steps) {
		const value = program(bindings);
		if (isCelError(value)) {
			return err({field, message: value.message});
		}

		bindings[name] = value;
	}

	const decision = decisionSchema.safeParse(convertValue(bindings.decision));
	if (decision.success) {
		return ok(decision.data);
	}

	const issue = decision.error.issues[0];
	return err({field: 'decision', message: `the program's result is not a decision: ${issue?.path.join('.') ?? ''} ${issue?.message ?? ''}`.trim()});
}

/**
 * Compiles a program and runs it on the sample requests.
 *
 * @param policy - The program as the operator wrote it.
 * @returns The compiled program, or every problem found.
 * @public
 * @example
 * ```ts
 * compilePolicy({kind: 'policy', name: 'pages', variables: [], decision: '{"action": "forward", "isRepeatable": true}'});
 * ```
 */
export function compilePolicy(policy: Policy): Result<CompiledPolicy, readonly PolicyProblem[]> {
	return compileSteps(policy).andThen(steps => {
		const decide = (request: RequestAttributes): Result<Decision, PolicyProblem> => runSteps(steps, request);
		for (const request of sampleRequests) {
			const decision = decide(request);
			if (decision.isErr()) {
				const message = `fails on the sample request ${request.method} ${request.path}: ${decision.error.message}`;
				return err([{field: decision.error.field, message}]);
			}
		}

		return ok({name: policy.name, decide});
	});
}

const compiledPolicies = new WeakMap<Policy, CompiledPolicy>();

/**
 * Gets the compiled form of a policy of an accepted configuration, compiling it on first use.
 *
 * @param policy - A policy of an accepted configuration. It compiled on the node that accepted it.
 * @returns The compiled program, or `undefined` if this node cannot compile it.
 * @internal
 */
export function getCompiledPolicy(policy: Policy): CompiledPolicy | undefined {
	const known = compiledPolicies.get(policy);
	if (known !== undefined) {
		return known;
	}

	const compiled = compilePolicy(policy).unwrapOr(undefined);
	if (compiled !== undefined) {
		compiledPolicies.set(policy, compiled);
	}

	return compiled;
}
