/** The slopes behind docs/CAPACITY.md: state, processor time, messages and bytes against each size. */
package org.flamingopitch.bench.capacity;
