/** Tests of at-most-once execution. */
package org.flamingopitch.coordination.once;
