/** Tests of what is read from the key-value service. */
package org.flamingopitch.coordination.kv;
