/** Offline analysis of the log files of all hosts: reading, statistics for each group of jobs, table, JSON and plot. */
package org.flamingopitch.daemon.analysis;
