/**
 * A journal of one partition in the key-value store: group commit, segments, snapshots and fencing of earlier owners.
 */
package org.flamingopitch.coordination.journal;
