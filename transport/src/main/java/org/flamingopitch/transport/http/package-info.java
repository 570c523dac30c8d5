/** HTTP by Undertow: a server and a client whose answers are whole or reported as lost. */
package org.flamingopitch.transport.http;
