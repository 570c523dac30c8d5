/** The last check of a build: only failures that are listed as known may pass. */
package org.flamingopitch.bench.check;
