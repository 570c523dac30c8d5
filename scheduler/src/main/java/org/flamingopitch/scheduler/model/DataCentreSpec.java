package org.flamingopitch.scheduler.model;

import java.util.List;

/**
 * A data centre of the inventory.
 *
 * @param name the name
 * @param region its region
 * @param racks its racks
 */
public record DataCentreSpec(String name, String region, List<RackSpec> racks) {}
