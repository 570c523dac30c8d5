/** Jobs, tasks, queues and workers as the owner of a cell sees them. */
package org.flamingopitch.scheduler.cell.model;
