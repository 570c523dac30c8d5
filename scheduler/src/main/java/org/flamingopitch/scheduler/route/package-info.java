/** Finds the owner for each call, passes the call on, and tries again as long as that is safe. */
package org.flamingopitch.scheduler.route;
