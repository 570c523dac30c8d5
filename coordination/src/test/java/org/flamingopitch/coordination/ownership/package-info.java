/** Tests of partition ownership. */
package org.flamingopitch.coordination.ownership;
