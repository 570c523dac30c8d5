/** A small stand-in for the platform's key-value service, without any durability. */
package org.flamingopitch.standins.kv;
