/** Tests of the comparison of two builds. */
package org.flamingopitch.bench.compare;
