/** The last check of a build: fails it if a test failed that is not listed as a known failure. */
package org.flamingopitch.bench.check;
