/**
 * Ports of the links between nodes.
 *
 * @module
 */

/** Port of a node's gate. */
export const gatePort = 7002;

/** Port of the link in front of it. */
export const peerLinkPort = 7022;
