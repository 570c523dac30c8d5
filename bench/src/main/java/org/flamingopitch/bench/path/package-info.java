/** What the way through two entry hosts adds to a request. */
package org.flamingopitch.bench.path;
