package org.flamingopitch.soak;

/**
 * The identifier of a worker, under which it is registered in the store.
 *
 * @param text the identifier as it is sent
 */
record WorkerId(String text) {}
