/** HTTP server and client on Undertow. The client reports an incomplete answer as lost, never as an answer. */
package org.flamingopitch.transport.http;
