/** Benchmarks of takeover, of journal replay and of the calls to the key-value service. */
package org.flamingopitch.bench.takeover;
