import assert from 'node:assert/strict';
import test from 'node:test';
import {createAwaitedRoutes} from './awaited-routes.js';

test('a route whose objective is a small part of others of its service is taken for calls of servers', () => {
	const routes = createAwaitedRoutes();
	assert.equal(routes.note('hall', 'publish', 250), false);
	assert.equal(routes.note('hall', 'look-up', 60), true);
	assert.equal(routes.note('hall', 'publish', 250), false);
	// Another objective for another service says nothing here.
	assert.equal(routes.note('logview', 'page', 100), false);
});

test('objectives that are about as long are all those of callers', () => {
	const routes = createAwaitedRoutes();
	assert.equal(routes.note('vault', 'film', 250), false);
	assert.equal(routes.note('vault', 'order', 150), false);
});

test('a route that hardly anybody uses says nothing about the others', () => {
	const routes = createAwaitedRoutes();
	routes.note('pages', 'idle', 1000);
	for (let count = 0; count < 100; count++) {
		routes.note('pages', 'page', 200);
	}

	assert.equal(routes.note('pages', 'page', 200), false);
});

test('a route that is gone, or whose objective has changed, counts no more', () => {
	const routes = createAwaitedRoutes();
	routes.note('hall', 'publish', 250);
	routes.retain(new Set(['look-up']));
	assert.equal(routes.note('hall', 'look-up', 60), false);
	routes.note('hall', 'publish', 250);
	routes.note('hall', 'publish', 100);
	assert.equal(routes.note('hall', 'look-up', 60), false);
});
