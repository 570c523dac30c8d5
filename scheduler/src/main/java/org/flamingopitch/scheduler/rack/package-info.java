/**
 * The owner of a rack: places requests and tasks on the rack's workers within their capacity and tracks them, also
 * across a takeover by another process.
 */
package org.flamingopitch.scheduler.rack;
