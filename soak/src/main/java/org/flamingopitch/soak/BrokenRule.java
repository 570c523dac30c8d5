package org.flamingopitch.soak;

/**
 * A broken rule.
 *
 * @param rule the rule
 * @param at when it was seen, in milliseconds since the start of the soak
 * @param detail which task or job broke it, and how
 */
record BrokenRule(Rule rule, long at, String detail) {}
