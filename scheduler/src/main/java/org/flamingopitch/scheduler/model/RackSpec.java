package org.flamingopitch.scheduler.model;

import java.util.List;

/**
 * A rack in the inventory.
 *
 * @param name the name, unique within the data centre
 * @param workers its workers
 */
public record RackSpec(String name, List<WorkerSpec> workers) {}
