/** The owner's side of a rack: which worker runs what, within the worker's capacity, across changes of the owner. */
package org.flamingopitch.scheduler.rack;
