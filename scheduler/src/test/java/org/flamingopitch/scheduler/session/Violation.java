package org.flamingopitch.scheduler.session;

/**
 * A broken promise.
 *
 * @param promise the promise
 * @param detail what was seen
 */
record Violation(Promise promise, String detail) {}
