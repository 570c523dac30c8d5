/** Configuration from the key-value service: accepted by compare-and-swap, followed without ever going back. */
package org.flamingopitch.coordination.config;
