/** The adapters to the platform: key-value service, workers, list of hosts. */
package org.flamingopitch.daemon.platform;
