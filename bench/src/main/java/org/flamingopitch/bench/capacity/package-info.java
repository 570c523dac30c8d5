/**
 * Capacity benchmark: how memory, processor time, store writes and message sizes grow with the size of a deployment.
 * Its results are the basis of docs/CAPACITY.md.
 */
package org.flamingopitch.bench.capacity;
