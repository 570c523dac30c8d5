/** Compares two builds by pairs of plays of the same days with the same seeds; {@code bench/compare} plays them. */
package org.flamingopitch.bench.compare;
