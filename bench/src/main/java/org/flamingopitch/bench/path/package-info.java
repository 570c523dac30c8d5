/** Benchmark of the latency that two entry hosts add to a request. */
package org.flamingopitch.bench.path;
