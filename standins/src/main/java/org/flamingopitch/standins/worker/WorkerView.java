package org.flamingopitch.standins.worker;

import java.util.List;

/**
 * A report.
 *
 * @param tasks the tasks
 * @param requests the ids of the requests that are being answered
 * @param connections open connections
 * @param usage the measured usage
 */
public record WorkerView(List<TaskView> tasks, List<String> requests, int connections, UsageView usage) {}
