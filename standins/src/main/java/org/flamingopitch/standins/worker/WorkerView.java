package org.flamingopitch.standins.worker;

import java.util.List;

/**
 * The answer of a worker to a request for its state.
 *
 * @param tasks the running tasks, and the ended ones that were not acknowledged
 * @param requests the ids of the requests in progress
 * @param connections the number of open connections
 * @param usage the measured usage
 */
public record WorkerView(List<TaskView> tasks, List<String> requests, int connections, UsageView usage) {}
