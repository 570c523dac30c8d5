/** Builders of model objects for tests. */
package org.flamingopitch.scheduler.cell.model;
