/** The entry host process: the core, its adapters, and the supervisor tree that holds them. */
package org.flamingopitch.daemon.entry;
