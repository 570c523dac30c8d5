/** Membership of the system's processes: a leased key for each, and promises between them while the store is down. */
package org.flamingopitch.coordination.membership;
