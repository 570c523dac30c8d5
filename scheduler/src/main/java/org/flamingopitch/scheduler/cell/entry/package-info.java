/**
 * Receives callers' requests on any host and forwards them to the owner of the cell. A cell is the set of workers that
 * one process, its owner, schedules; the hosts elect the owner through a key in the store.
 */
package org.flamingopitch.scheduler.cell.entry;
