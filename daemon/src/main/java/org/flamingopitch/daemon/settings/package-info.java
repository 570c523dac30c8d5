/** Settings and configuration: JSON documents that are validated against their schemas before use. */
package org.flamingopitch.daemon.settings;
