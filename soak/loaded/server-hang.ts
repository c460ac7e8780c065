/**
 * Delays what a backend server does while it hangs.
 *
 * @module
 */

export type Hang = {
	readonly isOn: () => boolean;
	/** Lets the server hang, or go on. */
	readonly set: (isHanging: boolean) => void;
	/** Calls a function at once, or when the server no longer hangs. */
	readonly runWhenOver: (action: () => void) => void;
};

/** Creates the state of a server that does not hang. */
export function createHang(): Hang {
	let held: Array<() => void> | undefined;
	return {
		isOn: () => held !== undefined,
		set(isHanging) {
			const released = held ?? [];
			held = isHanging ? released : undefined;
			if (held === undefined) {
				for (const action of released) {
					action();
				}
			}
		},
		runWhenOver(action) {
			if (held === undefined) {
				action();
			} else {
				held.push(action);
			}
		},
	};
}
