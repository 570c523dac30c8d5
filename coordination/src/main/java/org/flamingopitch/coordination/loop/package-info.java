/** The single-writer loop: events on a ring buffer, processed by one thread, and its timers. */
package org.flamingopitch.coordination.loop;
