/** Tests of the journal. */
package org.flamingopitch.coordination.journal;
