/** Test stand-in for the key-value service of the platform. All data is kept in memory only. */
package org.flamingopitch.standins.kv;
