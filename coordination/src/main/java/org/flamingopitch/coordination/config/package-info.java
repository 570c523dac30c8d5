/** The configuration in the key-value store: changed by compare-and-swap, watched in order of versions. */
package org.flamingopitch.coordination.config;
