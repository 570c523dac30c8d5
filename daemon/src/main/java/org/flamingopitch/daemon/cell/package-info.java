/**
 * The process that the command {@code front} runs: a cell node, its connections and its metrics. A cell is the set of
 * workers that one owner schedules.
 */
package org.flamingopitch.daemon.cell;
