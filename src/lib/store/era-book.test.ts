import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createEraBook} from './era-book.js';

test('the first answer is no change, a newer era is one, the same is none', () => {
	const book = createEraBook();
	const heard: number[] = [];
	book.watch(era => {
		heard.push(era);
	});
	assert.equal(book.get(), undefined);
	assert.equal(book.accept(3, book.noteSending()), true);
	assert.equal(book.accept(3, book.noteSending()), true);
	assert.deepEqual(heard, []);
	assert.equal(book.accept(4, book.noteSending()), true);
	assert.deepEqual([heard, book.get()], [[4], 4]);
});

test('an answer of an era that is over counts no more, unless it was asked for since', () => {
	const book = createEraBook();
	book.accept(3, book.noteSending());
	const early = book.noteSending();
	book.accept(4, book.noteSending());
	assert.equal(book.accept(3, early), false);
	assert.equal(book.get(), 4);
	assert.equal(book.accept(1, book.noteSending()), true, 'a store that was replaced counts from anew');
	assert.equal(book.get(), 1);
});

test('property: whatever order the answers of a store come in, the era never goes back', () => {
	// Each call is answered in the era in which it arrives, and its answer may come after any number of later ones.
	fc.assert(fc.property(fc.array(fc.record({restores: fc.nat(1), delay: fc.nat(6)}), {maxLength: 40}), calls => {
		const book = createEraBook();
		let era = 1;
		const due: Array<{readonly at: number; readonly era: number; readonly sentAt: number}> = [];
		let newest = 0;
		for (const [turn, {restores, delay}] of calls.entries()) {
			era += restores;
			due.push({at: turn + delay, era, sentAt: book.noteSending()});
			for (const answer of due.filter(({at}) => at === turn)) {
				assert.equal(book.accept(answer.era, answer.sentAt), answer.era >= newest);
				newest = Math.max(newest, answer.era);
				assert.equal(book.get(), newest);
			}
		}
	}));
});
