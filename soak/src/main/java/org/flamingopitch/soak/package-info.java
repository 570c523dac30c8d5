/** A randomized fault soak of the real {@code front} processes against stand-ins for the users' platform. */
package org.flamingopitch.soak;
