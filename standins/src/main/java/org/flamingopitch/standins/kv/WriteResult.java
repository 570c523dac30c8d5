package org.flamingopitch.standins.kv;

/**
 * The result of a write.
 *
 * @param status whether it took effect
 * @param version the key's version afterwards, 0 if it does not exist
 */
public record WriteResult(WriteStatus status, long version) {}
