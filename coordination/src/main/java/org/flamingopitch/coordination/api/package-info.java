/** The value types, clock and context that every coordination part shares. */
package org.flamingopitch.coordination.api;
