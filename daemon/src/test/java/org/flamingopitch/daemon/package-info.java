/** Rules that hold for all modules. */
package org.flamingopitch.daemon;
