/** Settings and configuration: JSON documents, checked against their schemas before anything uses them. */
package org.flamingopitch.daemon.settings;
