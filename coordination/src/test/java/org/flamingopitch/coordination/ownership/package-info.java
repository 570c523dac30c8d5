/** Tests of ownership. */
package org.flamingopitch.coordination.ownership;
