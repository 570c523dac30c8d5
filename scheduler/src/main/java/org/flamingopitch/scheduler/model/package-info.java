/** The operators' configuration and the value types that all parts of the scheduler use. */
package org.flamingopitch.scheduler.model;
