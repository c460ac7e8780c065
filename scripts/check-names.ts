/**
 * Checks that the name of each function begins with a verb of the list in
 * docs/STYLE.md.
 *
 * @module
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import ts from 'typescript';

const roots: readonly string[] = ['src', 'platform', 'apps', 'stand-ins', 'demo', 'bench', 'scenarios', 'scripts', 'soak'];

function readVerbs(): ReadonlySet<string> {
	const page = readFileSync('docs/STYLE.md', 'utf8');
	const list = /<!-- verbs -->([\s\S]*?)<!-- \/verbs -->/.exec(page)?.[1] ?? '';
	return new Set(list.match(/[a-z]+/g));
}

function listFiles(folder: string): readonly string[] {
	return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
		const path = join(folder, entry.name);
		if (entry.isDirectory()) {
			return entry.name === 'generated' ? [] : listFiles(path);
		}

		return path.endsWith('.ts') ? [path] : [];
	});
}

function isFunctionNode(node: ts.Node | undefined): boolean {
	return node !== undefined && (ts.isArrowFunction(node) || ts.isFunctionExpression(node));
}

function getFunctionName(node: ts.Node): ts.Identifier | undefined {
	if (ts.isFunctionDeclaration(node)) {
		return node.name;
	}

	const isNamed = ts.isVariableDeclaration(node) || ts.isPropertyAssignment(node);
	return isNamed && isFunctionNode(node.initializer) && ts.isIdentifier(node.name) ? node.name : undefined;
}

function listBadNames(path: string, verbs: ReadonlySet<string>): readonly string[] {
	const source = ts.createSourceFile(path, readFileSync(path, 'utf8'), ts.ScriptTarget.ES2022, true);
	const bad: string[] = [];
	const visit = (node: ts.Node): void => {
		const name = getFunctionName(node);
		const verb = /^[a-z]+/.exec(name?.text ?? '')?.[0];
		if (name !== undefined && (verb === undefined || !verbs.has(verb))) {
			const {line} = source.getLineAndCharacterOfPosition(name.getStart());
			bad.push(`${path}:${line + 1}: function ${name.text} does not begin with a verb of the list in docs/STYLE.md`);
		}

		ts.forEachChild(node, visit);
	};

	visit(source);
	return bad;
}

const verbs = readVerbs();
const bad = roots.flatMap(root => listFiles(root)).flatMap(path => listBadNames(path, verbs));
process.stdout.write(bad.map(line => `${line}\n`).join(''));
process.exitCode = bad.length === 0 ? 0 : 1;
