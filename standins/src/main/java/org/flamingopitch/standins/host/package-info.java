/** A small stand-in for the platform's list of live and leaving hosts. */
package org.flamingopitch.standins.host;
