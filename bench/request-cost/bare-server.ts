/**
 * The smallest HTTP server: a process that answers each request at once. What a
 * request costs it is the unit for what a request costs a mesh, so that results
 * of different machines, and of one machine under different load, can be compared.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';

const body = Buffer.alloc(1500, 'x');

const [host = '127.0.0.1', port = '0'] = process.argv.slice(2);

createServer((request, response) => {
	request.resume();
	response.writeHead(200, {'content-length': body.length});
	response.end(body);
}).listen(Number(port), host);
