/** Tests of the feature gates. */
package org.flamingopitch.scheduler.cell.feature;
