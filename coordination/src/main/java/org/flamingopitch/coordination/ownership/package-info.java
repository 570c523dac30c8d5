/**
 * Ownership of partitions by processes. The store holds one ownership map for each group of partitions; processes change
 * it by compare-and-swap and act as owners only while their lease, or an extension that their peers promised, is valid.
 */
package org.flamingopitch.coordination.ownership;
