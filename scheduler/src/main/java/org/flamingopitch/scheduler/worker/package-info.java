/** The interface to the platform's workers: requests, tasks with leases, and reports. */
package org.flamingopitch.scheduler.worker;
