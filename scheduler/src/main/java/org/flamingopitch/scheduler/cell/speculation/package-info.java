/** Decides about copies of tasks that take much longer than others of their queue; without network access. */
package org.flamingopitch.scheduler.cell.speculation;
