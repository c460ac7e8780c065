/**
 * Validates one submission against one version of the configuration. Only
 * changes that every node can apply are accepted, because an accepted submission
 * is never rolled back.
 *
 * @module
 */
import {applyTreeChanges, getTreeValue, type DigestTree} from '../common/digest-tree.js';
import {formatCanonical} from '../common/digest.js';
import {compilePolicy} from '../policy/compile-policy.js';
import {
	createItemEntry, findSubmission, getChangedKey, maximumRememberedSubmissions, type Configuration,
} from './configuration.js';
import {type ConfiguredItem, type ItemChange} from './configured-item.js';
import {findDanglingReferences} from './find-dangling-references.js';
import {formatItemKey, type Item} from './item.js';
import {type Problem} from './problem.js';
import {type ItemConflict, type Submission, type SubmissionOutcome} from './submission.js';

/** The changes of a submission that are ready for the next version, or the outcome if the submission adds nothing to it. @internal */
export type SubmissionEvaluation =
	| {readonly type: 'ready'; readonly changes: readonly ItemChange[]; readonly tree: DigestTree<ConfiguredItem>}
	| {readonly type: 'settled'; readonly outcome: SubmissionOutcome};

/** Maximum number of items of all kinds in one configuration. */
const maximumItems = 60_000;

function findPolicyProblems(item: Item): readonly Problem[] {
	if (item.kind !== 'policy') {
		return [];
	}

	return compilePolicy(item).match(
		() => [],
		problems => problems.map(({field, message}) => ({item: formatItemKey(item), field, message})),
	);
}

function findDuplicateKeys(changes: readonly ItemChange[]): readonly Problem[] {
	const seen = new Set<string>();
	const problems: Problem[] = [];
	for (const key of changes.map(change => getChangedKey(change))) {
		if (seen.has(key)) {
			problems.push({item: key, field: '', message: 'is changed twice in one submission; keep one of the changes'});
		}

		seen.add(key);
	}

	return problems;
}

function isEffective(tree: DigestTree<ConfiguredItem>, change: ItemChange): boolean {
	const current = getTreeValue(tree, getChangedKey(change));
	if (change.type === 'remove') {
		return current !== undefined;
	}

	return current === undefined || formatCanonical(current.item) !== formatCanonical(change.item);
}

function findConflicts(tree: DigestTree<ConfiguredItem>, submission: Submission): readonly ItemConflict[] {
	return Object.entries(submission.bases).flatMap(([key, base]) => {
		const current = getTreeValue(tree, key)?.revision ?? 0;
		return current === base ? [] : [{key, base, current}];
	});
}

/**
 * Checks each item that a submission adds or replaces, independently of the current configuration, and finds items that are changed twice.
 *
 * @param changes - The changes.
 * @returns Every problem found.
 * @public
 */
export function findItemProblems(changes: readonly ItemChange[]): readonly Problem[] {
	return [
		...findDuplicateKeys(changes),
		...changes.flatMap(change => change.type === 'put' ? findPolicyProblems(change.item) : []),
	];
}

/**
 * Determines the effect of a submission on a version.
 *
 * @param base - The accepted version.
 * @param tree - The items that the submission changes: those of the version, with the changes of earlier submissions in the same batch.
 * @param submission - The submission; its items have passed {@link findItemProblems}.
 * @returns The changes and the resulting items, or the outcome.
 * @internal
 */
export function evaluateSubmission(base: Configuration, tree: DigestTree<ConfiguredItem>, submission: Submission): SubmissionEvaluation {
	const known = findSubmission(base, submission.id);
	if (known !== undefined) {
		return {type: 'settled', outcome: {type: 'accepted', version: known, isRepeated: true}};
	}

	const oldestVersion = getOldestRememberedVersion(base);
	if (submission.seenVersion < oldestVersion) {
		return {type: 'settled', outcome: {type: 'expired', oldestVersion}};
	}

	const conflicts = findConflicts(tree, submission);
	if (conflicts.length > 0) {
		return {type: 'settled', outcome: {type: 'conflict', items: conflicts}};
	}

	const changes = submission.changes.filter(change => isEffective(tree, change));
	if (changes.length === 0) {
		return {type: 'settled', outcome: {type: 'unchanged', version: base.version}};
	}

	const next = applyTreeChanges(tree, changes.map(change => ({
		key: getChangedKey(change),
		entry: change.type === 'put' ? createItemEntry({item: change.item, revision: base.version + 1}) : undefined,
	})));
	const problems = findDanglingReferences(next, changes).map(({route, missing}): Problem => ({
		item: route, field: missing.split('/')[0] ?? '', message: `refers to ${missing}, which would not exist; add it, or change the route in the same submission`,
	}));
	if (next.size > maximumItems) {
		problems.push({item: '', field: '', message: `the configuration would have ${next.size} items; at most ${maximumItems} are allowed`});
	}

	return problems.length === 0 ? {type: 'ready', changes, tree: next} : {type: 'settled', outcome: {type: 'invalid', problems}};
}

/** Returns the version of the oldest remembered submission. The ids of earlier submissions may have been dropped, so a missing id does not prove that a submission was not accepted. */
function getOldestRememberedVersion(base: Configuration): number {
	return base.submissions.length < maximumRememberedSubmissions ? 0 : (base.submissions[0]?.version ?? 0);
}
