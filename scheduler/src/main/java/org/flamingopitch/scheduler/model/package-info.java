/** The operators' configuration and the values that all parts of the scheduler share. */
package org.flamingopitch.scheduler.model;
