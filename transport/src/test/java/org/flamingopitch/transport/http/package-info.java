/** Tests of the HTTP client and server, over loopback. */
package org.flamingopitch.transport.http;
