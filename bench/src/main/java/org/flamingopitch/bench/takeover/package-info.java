/** How long takeover and recovery take, and what the key-value service is asked. */
package org.flamingopitch.bench.takeover;
