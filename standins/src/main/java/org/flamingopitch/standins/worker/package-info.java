/** Test stand-in for the workers of the platform. It starts every task, even if resources are exhausted. */
package org.flamingopitch.standins.worker;
