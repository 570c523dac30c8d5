/** The command line of the benchmarks and the deployment that they share. */
package org.flamingopitch.bench.cli;
