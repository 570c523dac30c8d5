/** Membership: each process registers in the store by a key under a lease and watches the keys of the others. */
package org.flamingopitch.coordination.membership;
