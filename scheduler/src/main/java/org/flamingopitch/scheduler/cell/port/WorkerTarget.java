package org.flamingopitch.scheduler.cell.port;

import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Where an order goes.
 *
 * @param worker the worker that must carry it out
 * @param address its IP number and port
 */
public record WorkerTarget(WorkerId worker, String address) {}
