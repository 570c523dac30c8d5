package org.flamingopitch.scheduler.node;

/**
 * An entry of the audit log.
 *
 * @param type the kind of change
 * @param subject the name of the partition, job, worker or process that changed
 * @param detail the new state and the cause, for operators
 */
public record AuditEvent(AuditType type, String subject, String detail) {}
