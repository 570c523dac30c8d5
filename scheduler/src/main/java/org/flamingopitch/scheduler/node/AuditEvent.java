package org.flamingopitch.scheduler.node;

/**
 * A change that is worth a line.
 *
 * @param type what kind of change
 * @param subject what changed
 * @param detail how and why
 */
public record AuditEvent(AuditType type, String subject, String detail) {}
