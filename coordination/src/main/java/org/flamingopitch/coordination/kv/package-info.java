/** The port to the platform's key-value service: compare-and-swap, leases and watches. */
package org.flamingopitch.coordination.kv;
