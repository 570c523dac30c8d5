/** A journal of one partition in the key-value service: group commit, segments, snapshots, and fencing of old owners. */
package org.flamingopitch.coordination.journal;
