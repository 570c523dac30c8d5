/** HTTP clients of the services around an entry host: key-value service, workers, list of hosts. */
package org.flamingopitch.daemon.platform;
