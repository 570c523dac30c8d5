/** Tests of the cell host and of the names that leave its process. */
package org.flamingopitch.daemon.cell;
