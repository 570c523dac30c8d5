/**
 * Deterministic simulation of a deployment. Sessions run the scheduler's core on several entry hosts with a simulated
 * clock and fakes for the key-value service, the workers and the callers; they inject faults and check the guarantees.
 */
package org.flamingopitch.scheduler.session;
