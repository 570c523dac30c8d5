/** Test stand-in for the service of the platform that lists live and leaving hosts. */
package org.flamingopitch.standins.host;
