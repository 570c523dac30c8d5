/** The single-writer loop: typed events on a ring buffer, applied by one thread. */
package org.flamingopitch.coordination.loop;
