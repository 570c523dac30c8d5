/** Executable examples of embedding the coordination components in another program. */
package org.flamingopitch.coordination.example;
