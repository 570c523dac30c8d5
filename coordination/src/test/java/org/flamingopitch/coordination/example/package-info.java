/** How to embed the coordination parts; each example runs with every build. */
package org.flamingopitch.coordination.example;
