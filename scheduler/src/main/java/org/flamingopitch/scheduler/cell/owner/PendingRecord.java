package org.flamingopitch.scheduler.cell.owner;

/**
 * A record that a transaction writes or deletes.
 *
 * @param change the change of the job that it belongs to, null for the learned statistics
 * @param key its key
 * @param value its value, null to delete it
 */
record PendingRecord(JobChange change, String key, String value) {}
