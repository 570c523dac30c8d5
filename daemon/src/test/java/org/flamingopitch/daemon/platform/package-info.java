/** Tests of the clients of the platform that the product's own interface uses. */
package org.flamingopitch.daemon.platform;
