/** Ownership of partitions: one map for each group in the store, changed by compare-and-swap, guarded by leases. */
package org.flamingopitch.coordination.ownership;
