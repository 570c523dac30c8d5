/** The ids, JSON codec, time source and loop context that the coordination packages share. */
package org.flamingopitch.coordination.api;
