/** Tests that run entry hosts and the stand-ins for the platform in processes of their own. */
package org.flamingopitch.daemon.process;
