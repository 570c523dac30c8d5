/** The port to the platform's workers: requests, tasks under leases, and reports. */
package org.flamingopitch.scheduler.worker;
