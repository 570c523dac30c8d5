/** The messages that entry host processes exchange. */
package org.flamingopitch.scheduler.message;
