/** Whole sessions on a fake clock: cores, fakes at the three ports, faults, and checks written from the promises. */
package org.flamingopitch.scheduler.session;
