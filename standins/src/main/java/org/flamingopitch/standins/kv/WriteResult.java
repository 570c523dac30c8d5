package org.flamingopitch.standins.kv;

/**
 * The result of a conditional write or deletion of a key.
 *
 * @param status whether the write took effect, or why not
 * @param version the key's version afterwards; 0 if it does not exist or the write's lease has ended
 */
public record WriteResult(WriteStatus status, long version) {}
