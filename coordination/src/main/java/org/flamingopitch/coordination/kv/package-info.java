/** The interface to the key-value store of the platform: compare-and-swap, leases and watches. */
package org.flamingopitch.coordination.kv;
