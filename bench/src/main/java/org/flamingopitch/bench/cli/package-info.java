/** The benchmark commands. */
package org.flamingopitch.bench.cli;
