package org.flamingopitch.scheduler.cell.port;

import org.flamingopitch.scheduler.model.WorkerId;

/**
 * The recipient of an order.
 *
 * @param worker the worker that must carry out the order
 * @param address its IP address and port
 */
public record WorkerTarget(WorkerId worker, String address) {}
