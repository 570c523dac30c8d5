package org.flamingopitch.scheduler.model;

import java.util.List;

/**
 * A data centre in the inventory.
 *
 * @param name the name
 * @param region the region in which it is located
 * @param racks its racks
 */
public record DataCentreSpec(String name, String region, List<RackSpec> racks) {}
