/** Tests of the configuration service. */
package org.flamingopitch.coordination.config;
